#ifndef TANAGERSTALL_RPC_CONNECTION_HPP_INCLUDED
#define TANAGERSTALL_RPC_CONNECTION_HPP_INCLUDED

#include "tanagerstall/process/tanagerstall_settings.hpp"

#include <capnp/rpc-twoparty.h>
#include <kj/async-io.h>
#include <memory>
#include <string>

namespace tanagerstall {

/// An open RPC connection to a process whose bootstrap capability is
/// `Interface`.
template<class Interface>
struct RpcConnection
{
  explicit RpcConnection(kj::Own<kj::AsyncIoStream> aStream)
    : stream_(kj::mv(aStream))
    , client_(*stream_)
    , capability_(client_.bootstrap().castAs<Interface>())
  {
  }

  kj::Own<kj::AsyncIoStream> stream_;
  capnp::TwoPartyClient client_;
  typename Interface::Client capability_;
};

/// Opens a connection to "IP:port". Has no timeout; the caller has to add one.
template<class Connection>
kj::Promise<std::shared_ptr<Connection>>
OpenRpcConnection(kj::AsyncIoContext& aIo, const std::string& aAddress)
{
  return aIo.provider->getNetwork()
    .parseAddress(aAddress.c_str())
    .then([](kj::Own<kj::NetworkAddress> aTo) {
      auto connecting = aTo->connect();
      return connecting.attach(kj::mv(aTo));
    })
    .then([](kj::Own<kj::AsyncIoStream> aStream) {
      return std::make_shared<Connection>(kj::mv(aStream));
    });
}

/// Listens at an address. Throws kj::Exception if it can't be used.
inline kj::Own<kj::ConnectionReceiver>
ListenForRpc(kj::AsyncIoContext& aIo, const Address& aAddress)
{
  auto address = aIo.provider->getNetwork()
                   .parseAddress(aAddress.ToString().c_str())
                   .wait(aIo.waitScope);
  return address->listen();
}

} // namespace tanagerstall

#endif

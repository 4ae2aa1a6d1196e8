// Guards against a member that starts on an unsuitable data folder, or that
// accepts a message that was not meant for it or is malformed.
#define BOOST_TEST_MODULE raft_member
#include "tanagerstall/internal/tanagerstall_wire.hpp"
#include "tanagerstall/process/raft/tanagerstall_raft_codec.hpp"
#include "tanagerstall/process/raft/tanagerstall_raft_member.hpp"

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <capnp/rpc-twoparty.h>
#include <fstream>
#include <kj/async-io.h>
#include <ostream>

using namespace tanagerstall;

namespace {

struct TemporaryFolder
{
  std::filesystem::path path_ =
    std::filesystem::temp_directory_path() / ("tanagerstall-" + RandomHex(8));
  ~TemporaryFolder() { std::filesystem::remove_all(path_); }
};

StateMachine
EmptyMachine()
{
  auto nothing = [](BytesView) { return Bytes{}; };
  return { nothing, nothing, [] { return Bytes{}; }, [](BytesView) {} };
}

struct Fixture
{
  TemporaryFolder folder_;
  ControlLoop loop_;
  std::unique_ptr<RaftMember> member_;

  void Start(const std::string& aName, bool aIsBootstrap)
  {
    member_.reset();
    member_ = std::make_unique<RaftMember>(loop_,
                                           Clock(),
                                           MemberSettings{ aName,
                                                           folder_.path_,
                                                           { "127.0.0.1", 0 },
                                                           aIsBootstrap,
                                                           {},
                                                           {},
                                                           {},
                                                           0 });
    member_->Start({ "127.0.0.1", 1 }, { EmptyMachine(), EmptyMachine() });
  }

  /// Delivers an envelope over a TCP connection; returns the error, or "".
  std::string Deliver(
    const std::function<void(wire::Envelope::Builder)>& aModify)
  {
    auto& io = loop_.Io();
    const MemberIdentity& self = member_->Identity();
    auto stream = io.provider->getNetwork()
                    .parseAddress(self.member_.memberAddress_.c_str())
                    .then([](kj::Own<kj::NetworkAddress> aTo) {
                      auto connecting = aTo->connect();
                      return connecting.attach(kj::mv(aTo));
                    })
                    .wait(io.waitScope);
    capnp::TwoPartyClient client(*stream);
    auto port = client.bootstrap().castAs<wire::MemberPort>();
    auto request = port.deliverRequest();
    auto envelope = request.initEnvelope();
    envelope.setVersion(1);
    envelope.setCluster(ToText(self.cluster_));
    auto message = envelope.initMessage();
    message.setTo(self.member_.key_);
    message.setKind(static_cast<std::uint8_t>(MessageKind::Vote));
    aModify(envelope);
    return request.send()
      .then([](auto) { return std::string(); },
            [](kj::Exception&& aError) {
              return std::string(aError.getDescription().cStr());
            })
      .wait(io.waitScope);
  }
};

struct Refusal
{
  const char* expectedError_;
  std::function<void(wire::Envelope::Builder)> modify_;
};

std::ostream&
operator<<(std::ostream& aOut, const Refusal& aRefusal)
{
  return aOut << aRefusal.expectedError_;
}

const std::vector<Refusal> kRefusals{
  { "unknown version", [](auto aEnvelope) { aEnvelope.setVersion(2); } },
  { "from another cluster",
    [](auto aEnvelope) { aEnvelope.setCluster("other"); } },
  { "to another member",
    [](auto aEnvelope) { aEnvelope.getMessage().setTo(1); } },
  { "unknown kind",
    [](auto aEnvelope) { aEnvelope.getMessage().setKind(99); } },
  { "unknown group", [](auto aEnvelope) { aEnvelope.setGroup(7); } },
  { "too large",
    [](auto aEnvelope) {
      aEnvelope.getMessage().initChunk(kMaxMessageBytes + 1);
    } },
};

} // namespace

BOOST_TEST_DECORATOR(*boost::unit_test::label("member"))
BOOST_DATA_TEST_CASE(An_unsuitable_message_is_rejected, kRefusals, refusal)
{
  Fixture fixture;
  fixture.Start("control-1", true);
  std::string answer = fixture.Deliver(refusal.modify_);
  BOOST_TEST(answer.find(refusal.expectedError_) != std::string::npos);
  BOOST_TEST(fixture.Deliver([](auto) {}).empty());
}

BOOST_FIXTURE_TEST_CASE(A_folder_in_use_is_not_bootstrapped,
                        Fixture,
                        *boost::unit_test::label("member"))
{
  Start("control-1", true);
  std::string cluster = member_->Identity().cluster_;
  BOOST_CHECK_THROW(Start("control-1", true), DiskError);
  Start("control-1", false);
  BOOST_TEST(member_->Identity().cluster_ == cluster);
}

BOOST_FIXTURE_TEST_CASE(A_folder_serves_one_process_and_one_member_name,
                        Fixture,
                        *boost::unit_test::label("member"))
{
  Start("control-1", true);
  BOOST_CHECK_THROW(OpenLogDisk(folder_.path_), DiskError);
  BOOST_CHECK_THROW(Start("control-2", false), DiskError);
}

BOOST_FIXTURE_TEST_CASE(A_folder_that_lost_a_file_does_not_start,
                        Fixture,
                        *boost::unit_test::label("member"))
{
  for (const char* name : { "identity", "ledger.log", "ledger.snapshot" }) {
    Start("control-1", true);
    member_.reset();
    std::filesystem::remove(folder_.path_ / name);
    BOOST_CHECK_THROW(Start("control-1", false), DiskError);
    std::filesystem::remove_all(folder_.path_);
  }
}

BOOST_FIXTURE_TEST_CASE(A_member_without_a_cluster_joins_the_first_that_adds_it,
                        Fixture,
                        *boost::unit_test::label("member"))
{
  Start("control-2", false);
  BOOST_TEST(member_->Identity().cluster_.empty());
  auto other = [](auto aEnvelope) {
    aEnvelope.setCluster("other");
    aEnvelope.getMessage().setTo(1);
  };
  BOOST_TEST(!Deliver(other).empty());
  BOOST_TEST(member_->Identity().cluster_.empty());
  BOOST_TEST(Deliver([](auto aEnvelope) { aEnvelope.setCluster("one"); }) ==
             "");
  BOOST_TEST(member_->Identity().cluster_ == "one");
  BOOST_TEST(
    !Deliver([](auto aEnvelope) { aEnvelope.setCluster("two"); }).empty());
}

// Measures the presence exchange in a simulated network: bytes, processor time
// and memory of one entry for given numbers of entries and upstreams. Prints
// one JSON line.
#include "presence_network.hpp"
#include "tanagerstall/connection/tanagerstall_presence_codec.hpp"
#include "tanagerstall/request/tanagerstall_announcement.hpp"

#include <boost/json.hpp>
#include <capnp/message.h>
#include <capnp/serialize.h>
#include <iostream>
#include <malloc.h>

using namespace tanagerstall;
using namespace tanagerstall::tests;
using namespace std::chrono_literals;

namespace {

constexpr Duration kWarmUp = 6s;
constexpr Duration kMeasurementTime = 3s;
constexpr int kRepeats = 20;

/// Counts the messages on the network and their bytes.
struct Measurement
{
  bool isCounting_ = false;
  std::uint64_t messages_ = 0;
  std::uint64_t bytes_ = 0;

  PresenceNetwork::Hooks MakeHooks()
  {
    PresenceNetwork::Hooks hooks;
    hooks.onPull_ = [this](const PresencePull& aPull) {
      capnp::MallocMessageBuilder message;
      WritePull(message.initRoot<wire::PresencePull>(), aPull);
      Count(message);
    };
    hooks.onReply_ = [this](const PresenceReply& aReply) {
      capnp::MallocMessageBuilder message;
      WriteReply(message.initRoot<wire::PresenceReply>(), aReply);
      Count(message);
    };
    return hooks;
  }

  void Count(capnp::MessageBuilder& aMessage)
  {
    if (isCounting_) {
      ++messages_;
      bytes_ += capnp::computeSerializedSizeInWords(aMessage) * 8;
    }
  }
};

UpstreamInfo
MakeUpstream(std::size_t aIndex)
{
  UpstreamInfo info;
  info.service_ = "service-" + std::to_string(aIndex % 40);
  info.address_ = "10.0." + std::to_string(aIndex / 250) + "." +
                  std::to_string(aIndex % 250) + ":8000";
  info.id_ = info.service_ + "@" + info.address_;
  info.failureDomain_ = "domain-" + std::to_string(aIndex % 8);
  info.region_ = "region-" + std::to_string(aIndex % 3);
  info.incarnation_ = 1;
  return info;
}

/// Announces an upstream to one entry every second.
void
AnnouncePeriodically(PresenceNetwork& aNetwork,
                     std::size_t aIndex,
                     UpstreamInfo aInfo)
{
  ++aInfo.sequence_;
  aNetwork.Announce(aIndex % aNetwork.Nodes().size(), aInfo);
  aNetwork.At(aNetwork.Now() + 1s, [&aNetwork, aIndex, aInfo] {
    AnnouncePeriodically(aNetwork, aIndex, aInfo);
  });
}

/// The mean time of `kRepeats` runs of a task.
double
MeasureMicroseconds(const std::function<void()>& aTask)
{
  auto start = std::chrono::steady_clock::now();
  for (int i = 0; i < kRepeats; ++i) {
    aTask();
  }
  std::chrono::duration<double, std::micro> time =
    std::chrono::steady_clock::now() - start;
  return time.count() / kRepeats;
}

/// The largest age in seconds of an origin's last renewal at any entry.
double
LongestAge(PresenceNetwork& aNetwork)
{
  Duration longest{};
  for (std::size_t i = 0; i < aNetwork.Nodes().size(); ++i) {
    const auto& origins = aNetwork.Nodes()[i].table_->Origins();
    for (std::size_t slot = 1; slot < origins.size(); ++slot) {
      longest = std::max(longest, aNetwork.Local(i) - origins[slot].renewedAt_);
    }
  }
  return std::chrono::duration<double>(longest).count();
}

} // namespace

int
main(int aCount, char** aArguments)
{
  if (aCount != 3) {
    std::cerr << "usage: tanagerstall-measure-presence ENTRIES UPSTREAMS\n";
    return 2;
  }
  auto entries = std::stoul(aArguments[1]);
  auto upstreams = std::stoul(aArguments[2]);
  Measurement measurement;
  auto before = mallinfo2().uordblks;
  PresenceNetwork network(entries, measurement.MakeHooks());
  for (std::size_t i = 0; i < upstreams; ++i) {
    auto phase = std::chrono::milliseconds(network.Random()() % 1000);
    network.At(network.Now() + phase, [&network, i] {
      AnnouncePeriodically(network, i, MakeUpstream(i));
    });
  }
  network.RunFor(kWarmUp);
  measurement.isCounting_ = true;
  network.RunFor(kMeasurementTime);
  double memory = static_cast<double>(mallinfo2().uordblks - before);
  double seconds = std::chrono::duration<double>(kMeasurementTime).count();
  auto nodeSeconds = static_cast<double>(entries) * seconds;

  auto& node = network.Nodes()[0];
  auto& peer = network.Nodes()[1];
  double roundTrip = MeasureMicroseconds([&] {
    auto pull = node.exchange_->Pull(peer.id_, network.Local(0));
    auto reply = peer.exchange_->Answer(pull, network.Local(1));
    node.exchange_->Apply(peer.id_, pull, reply, network.Local(0));
  });
  double snapshot =
    MeasureMicroseconds([&] { node.table_->Present(network.Local(0)); });
  boost::json::object line{
    { "entries", entries },
    { "upstreams", upstreams },
    { "messages_per_node_s",
      2.0 * static_cast<double>(measurement.messages_) / nodeSeconds },
    { "payload_bytes_per_node_s",
      2.0 * static_cast<double>(measurement.bytes_) / nodeSeconds },
    { "longest_age_s", LongestAge(network) },
    { "pull_and_answer_us", roundTrip },
    { "present_list_us", snapshot },
    { "announcement_body_bytes", WriteAnnouncement(MakeUpstream(0)).size() },
    { "table_bytes_per_node", memory / static_cast<double>(entries) }
  };
  std::cout << boost::json::serialize(line) << "\n";
  return 0;
}

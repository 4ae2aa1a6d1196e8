#include "tanagerstall_soak_checker.hpp"

#include <algorithm>
#include <utility>

namespace tanagerstall::soak {

namespace {

constexpr std::size_t kBodyBytes = 800;
/// How long a leader may act after its last confirmation by a quorum.
constexpr Duration kLeaderLease = std::chrono::seconds(3);

/// Whether a status assures the caller that the request was not run.
bool
IsNotRunStatus(int aStatus)
{
  return aStatus == 408 || aStatus == 421 || aStatus == 429 || aStatus == 503;
}

bool
IsSuccess(int aStatus)
{
  return aStatus >= 200 && aStatus < 300;
}

} // namespace

std::string
MakeStreamEvent(const std::string& aId, int aNumber)
{
  std::string number = std::to_string(aNumber);
  return "id: " + number + "\ndata: " + aId + " " + number + "\n\n";
}

std::string
ExpectedBody(RequestKind aKind, const std::string& aId)
{
  std::string body;
  if (aKind != RequestKind::Stream) {
    body = "ran " + aId + " ";
    body.resize(kBodyBytes, 'x');
    return body;
  }
  for (int i = 1; i <= kStreamEvents; ++i) {
    body += MakeStreamEvent(aId, i);
  }
  return body;
}

std::string
MakeSeal(const std::string& aId, int aStatus)
{
  return aId + "." + std::to_string(aStatus);
}

RequestChecker::RequestChecker(CallerProtocol aProtocol,
                               FindingHook aAddFinding)
  : protocol_(std::move(aProtocol))
  , addFinding_(std::move(aAddFinding))
{
}

void
RequestChecker::OnSent(SentRequest aRequest)
{
  std::string id = aRequest.id_;
  requests_[id].sent_ = std::move(aRequest);
}

unsigned
RequestChecker::RunCount(const std::string& aId) const
{
  auto it = requests_.find(aId);
  return it == requests_.end() ? 0 : it->second.runs_;
}

void
RequestChecker::OnStarted(const std::string& aService,
                          const HttpRequest& aRequest)
{
  std::string id(aRequest.Header(protocol_.requestId_));
  auto it = requests_.find(id);
  if (it == requests_.end()) {
    AddFinding("UNASKED",
               "no caller sent a request with the id \"" + id + "\"");
    return;
  }
  CheckStart(it->second, aService, aRequest);
  ++it->second.runs_;
}

void
RequestChecker::CheckStart(const TrackedRequest& aTracked,
                           const std::string& aService,
                           const HttpRequest& aRequest)
{
  const SentRequest& sent = aTracked.sent_;
  if (aRequest.method_ != "POST" || aRequest.target_ != sent.target_ ||
      aRequest.body_ != sent.body_) {
    AddFinding("UNASKED",
               sent.id_ +
                 " reached the replica with another method, target or body");
  }
  if (aRequest.Header(protocol_.organisation_) != sent.organisation_) {
    AddFinding("UNASKED",
               sent.id_ + " reached the replica under another organisation");
  }
  if (!aRequest.Header(protocol_.key_).empty()) {
    AddFinding("UNASKED",
               sent.id_ + " reached the replica with its caller's key");
  }
  if (aService != sent.service_) {
    AddFinding("ROUTE", sent.id_ + " ran at service " + aService);
  }
  if (aTracked.runs_ > 0 && !sent.canRunAgain_) {
    AddFinding("TWICE", sent.id_ + " runs again");
  }
  if (aTracked.isReportedNotRun_) {
    AddFinding("REFUSED",
               sent.id_ +
                 " runs after the caller was told that it was not run");
  }
}

void
RequestChecker::OnResponse(const std::string& aId,
                           const ReceivedResponse& aResponse)
{
  TrackedRequest& tracked = requests_.at(aId);
  if (aResponse.status_ == 0) {
    return;
  }
  if (!aResponse.seal_.empty() &&
      aResponse.seal_ != MakeSeal(aId, aResponse.status_)) {
    AddFinding("MIXED",
               aId + " got status " + std::to_string(aResponse.status_) +
                 " with the seal \"" + aResponse.seal_ + "\"");
  }
  if (IsSuccess(aResponse.status_)) {
    CheckSuccess(tracked, aResponse);
  } else {
    CheckFailure(tracked, aResponse);
  }
}

void
RequestChecker::CheckSuccess(const TrackedRequest& aTracked,
                             const ReceivedResponse& aResponse)
{
  const SentRequest& sent = aTracked.sent_;
  if (aResponse.seal_.empty()) {
    AddFinding("MIXED", sent.id_ + " succeeded without the seal of a replica");
  }
  if (aTracked.runs_ == 0) {
    AddFinding("MIXED", sent.id_ + " succeeded, but no replica ran it");
  }
  std::string expected = ExpectedBody(sent.kind_, sent.id_);
  bool isExpected = aResponse.isWhole_ ? aResponse.body_ == expected
                                       : expected.starts_with(aResponse.body_);
  if (!isExpected) {
    AddFinding(
      sent.kind_ == RequestKind::Stream ? "ORDER" : "MIXED",
      sent.id_ + " got " + std::to_string(aResponse.body_.size()) +
        " bytes that aren't its response: " + aResponse.body_.substr(0, 200));
  }
}

// A response without a seal comes from the entry. Its 4xx status rejects the
// request as invalid, unless it only reports that the request was not run.
void
RequestChecker::CheckFailure(TrackedRequest& aTracked,
                             const ReceivedResponse& aResponse)
{
  const SentRequest& sent = aTracked.sent_;
  std::string status = std::to_string(aResponse.status_);
  if (IsNotRunStatus(aResponse.status_) && !sent.canRunAgain_) {
    if (aTracked.runs_ > 0) {
      AddFinding("REFUSED",
                 sent.id_ + " got status " + status + " although it ran");
    }
    aTracked.isReportedNotRun_ = true;
  }
  bool isFromEntry = aResponse.seal_.empty() && aResponse.status_ < 500 &&
                     !IsNotRunStatus(aResponse.status_);
  if (isFromEntry && !(aResponse.status_ == 404 && sent.canLackRoute_)) {
    AddFinding("DENIED", sent.id_ + " is valid, but got status " + status);
  }
}

void
RequestChecker::AddFinding(const char* aRule, const std::string& aDetail)
{
  addFinding_({ aRule, aDetail });
}

LeaderTaskChecker::LeaderTaskChecker(RequestChecker::FindingHook aAddFinding)
  : addFinding_(std::move(aAddFinding))
{
}

void
LeaderTaskChecker::OnCall(const LeaderCall& aCall)
{
  Subject& subject = subjects_[aCall.subject_];
  auto holder = subject.senders_.try_emplace(aCall.fencingToken_, aCall.sender_)
                  .first->second;
  if (holder != aCall.sender_) {
    addFinding_({ "ONE",
                  aCall.sender_ + " and " + holder + " acted for " +
                    aCall.subject_ + " under the same token " +
                    std::to_string(aCall.fencingToken_) });
  }
  if (!aCall.canBeLate_) {
    CheckOrder(subject, aCall);
  }
  subject.newest_ = std::max(subject.newest_, aCall.fencingToken_);
}

/// Checks a call against the earlier ones for its subject: its token must not
/// be older, and a sender must not act, be followed by another one and act
/// again within a lease.
void
LeaderTaskChecker::CheckOrder(Subject& aSubject, const LeaderCall& aCall)
{
  if (aCall.fencingToken_ < aSubject.newest_) {
    addFinding_({ "ONE",
                  aCall.sender_ + " acted for " + aCall.subject_ +
                    " under token " + std::to_string(aCall.fencingToken_) +
                    " after token " + std::to_string(aSubject.newest_) });
  }
  auto& recent = aSubject.recent_;
  while (!recent.empty() && recent.front().at_ + kLeaderLease <= aCall.at_) {
    recent.pop_front();
  }
  auto isOther = [&](const LeaderCall& aIt) {
    return aIt.sender_ != aCall.sender_;
  };
  auto first = std::find_if_not(recent.begin(), recent.end(), isOther);
  auto between = std::find_if(first, recent.end(), isOther);
  if (between != recent.end()) {
    auto span = std::chrono::duration_cast<std::chrono::milliseconds>(
      aCall.at_ - first->at_);
    addFinding_({ "ONE",
                  aCall.sender_ + ", " + between->sender_ + " and " +
                    aCall.sender_ + " acted in turn for " + aCall.subject_ +
                    " within " + std::to_string(span.count()) + " ms" });
  }
  recent.push_back(aCall);
}

void
LeaderTaskChecker::OnReport(std::uint64_t aWindow, const std::string& aCounts)
{
  auto first = windows_.try_emplace(aWindow, aCounts).first->second;
  if (first != aCounts) {
    addFinding_({ "ONE",
                  "window " + std::to_string(aWindow) +
                    " was reported with counts " + aCounts + " after " +
                    first });
  }
}

ConfigurationChecker::ConfigurationChecker(
  RequestChecker::FindingHook aAddFinding)
  : addFinding_(std::move(aAddFinding))
{
}

void
ConfigurationChecker::OnSent(std::uint64_t aNumber,
                             const std::string& aDocument)
{
  documents_[aNumber] = aDocument;
}

void
ConfigurationChecker::OnAcknowledged(std::uint64_t aNumber)
{
  newest_ = std::max(newest_, aNumber);
}

std::uint64_t
ConfigurationChecker::NewestSent() const
{
  return documents_.empty() ? 0 : documents_.rbegin()->first;
}

void
ConfigurationChecker::OnRead(const std::string& aMember,
                             std::uint64_t aMinNumber,
                             std::uint64_t aNumber,
                             const std::string& aDocument)
{
  if (aNumber < aMinNumber) {
    addFinding_({ "CONFIG",
                  aMember + " returned configuration " +
                    std::to_string(aNumber) + " too long after " +
                    std::to_string(aMinNumber) + " was acknowledged" });
  }
  auto it = documents_.find(aNumber);
  if (it == documents_.end() || it->second != aDocument) {
    addFinding_({ "CONFIG",
                  aMember + " returned another document than was sent as " +
                    std::to_string(aNumber) });
  }
}

void
ConfigurationChecker::OnProbe(const std::string& aEntry,
                              std::uint64_t aNumber,
                              bool aIsServed,
                              bool aIsRequired)
{
  std::uint64_t& newestServed = newestServed_[aEntry];
  if (aIsServed) {
    newestServed = std::max(newestServed, aNumber);
    return;
  }
  if (newestServed >= aNumber) {
    addFinding_({ "CONFIG",
                  aEntry + " no longer has the route of change " +
                    std::to_string(aNumber) });
  } else if (aIsRequired) {
    addFinding_({ "CONFIG",
                  aEntry + " lacks the route of change " +
                    std::to_string(aNumber) + " after the time limit" });
  }
}

} // namespace tanagerstall::soak

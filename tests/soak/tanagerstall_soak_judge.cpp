#include "tanagerstall_soak_judge.hpp"

#include <utility>

namespace tanagerstall::soak {

namespace {

constexpr std::size_t kPlainBytes = 800;

bool
IsPromise(int aStatus)
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
StreamEvent(const std::string& aId, int aNumber)
{
  std::string number = std::to_string(aNumber);
  return "id: " + number + "\ndata: " + aId + " " + number + "\n\n";
}

std::string
WholeBody(RequestKind aKind, const std::string& aId)
{
  std::string body;
  if (aKind != RequestKind::Stream) {
    body = "ran " + aId + " ";
    body.resize(kPlainBytes, 'x');
    return body;
  }
  for (int i = 1; i <= kStreamEvents; ++i) {
    body += StreamEvent(aId, i);
  }
  return body;
}

std::string
SealOf(const std::string& aId, int aStatus)
{
  return aId + "." + std::to_string(aStatus);
}

RequestJudge::RequestJudge(CallerProtocol aProtocol, FindingHook aFound)
  : protocol_(std::move(aProtocol))
  , found_(std::move(aFound))
{
}

void
RequestJudge::Sent(SentRequest aRequest)
{
  std::string id = aRequest.id_;
  requests_[id].sent_ = std::move(aRequest);
}

unsigned
RequestJudge::Runs(const std::string& aId) const
{
  auto it = requests_.find(aId);
  return it == requests_.end() ? 0 : it->second.runs_;
}

void
RequestJudge::Began(const std::string& aService, const HttpRequest& aRequest)
{
  std::string id(aRequest.Header(protocol_.requestId_));
  auto it = requests_.find(id);
  if (it == requests_.end()) {
    Find("UNASKED", "no caller sent a request with the id \"" + id + "\"");
    return;
  }
  CheckBegin(it->second, aService, aRequest);
  ++it->second.runs_;
}

void
RequestJudge::CheckBegin(const Known& aKnown,
                         const std::string& aService,
                         const HttpRequest& aRequest)
{
  const SentRequest& sent = aKnown.sent_;
  if (aRequest.method_ != "POST" || aRequest.target_ != sent.target_ ||
      aRequest.body_ != sent.body_) {
    Find("UNASKED", sent.id_ + " arrived changed");
  }
  if (aRequest.Header(protocol_.organisation_) != sent.organisation_) {
    Find("UNASKED", sent.id_ + " arrived under another organisation");
  }
  if (!aRequest.Header(protocol_.key_).empty()) {
    Find("UNASKED", sent.id_ + " arrived with its caller's key");
  }
  if (aService != sent.service_) {
    Find("ROUTE", sent.id_ + " ran at service " + aService);
  }
  if (aKnown.runs_ > 0 && !sent.isRepeatable_) {
    Find("TWICE", sent.id_ + " runs again");
  }
  if (aKnown.isPromised_) {
    Find("REFUSED", sent.id_ + " runs after it was refused as not run");
  }
}

void
RequestJudge::Answered(const std::string& aId, const SeenAnswer& aAnswer)
{
  Known& known = requests_.at(aId);
  if (aAnswer.status_ == 0) {
    return;
  }
  if (!aAnswer.seal_.empty() && aAnswer.seal_ != SealOf(aId, aAnswer.status_)) {
    Find("MIXED",
         aId + " was answered " + std::to_string(aAnswer.status_) +
           " with the seal \"" + aAnswer.seal_ + "\"");
  }
  if (IsSuccess(aAnswer.status_)) {
    CheckSuccess(known, aAnswer);
  } else {
    CheckFailure(known, aAnswer);
  }
}

void
RequestJudge::CheckSuccess(const Known& aKnown, const SeenAnswer& aAnswer)
{
  const SentRequest& sent = aKnown.sent_;
  if (aAnswer.seal_.empty()) {
    Find("MIXED", sent.id_ + " succeeded without a replica's seal");
  }
  if (aKnown.runs_ == 0) {
    Find("MIXED", sent.id_ + " succeeded and ran nowhere");
  }
  std::string whole = WholeBody(sent.kind_, sent.id_);
  bool isRight = aAnswer.isWhole_ ? aAnswer.body_ == whole
                                  : whole.starts_with(aAnswer.body_);
  if (!isRight) {
    Find(sent.kind_ == RequestKind::Stream ? "ORDER" : "MIXED",
         sent.id_ + " got " + std::to_string(aAnswer.body_.size()) +
           " bytes that aren't its answer: " + aAnswer.body_.substr(0, 200));
  }
}

void
RequestJudge::CheckFailure(Known& aKnown, const SeenAnswer& aAnswer)
{
  const SentRequest& sent = aKnown.sent_;
  std::string status = std::to_string(aAnswer.status_);
  if (IsPromise(aAnswer.status_) && !sent.isRepeatable_) {
    if (aKnown.runs_ > 0) {
      Find("REFUSED", sent.id_ + " was answered " + status + " and has run");
    }
    aKnown.isPromised_ = true;
  }
  bool isOurs = aAnswer.seal_.empty() && aAnswer.status_ < 500 &&
                !IsPromise(aAnswer.status_);
  if (isOurs && !(aAnswer.status_ == 404 && sent.mayBeUnknown_)) {
    Find("DENIED", sent.id_ + " is proper and was answered " + status);
  }
}

void
RequestJudge::Find(const char* aRule, const std::string& aDetail)
{
  found_({ aRule, aDetail });
}

DutyJudge::DutyJudge(RequestJudge::FindingHook aFound)
  : found_(std::move(aFound))
{
}

void
DutyJudge::Called(const std::string& aSubject,
                  std::uint64_t aFence,
                  const std::string& aSender,
                  bool aIsExcused)
{
  Subject& subject = subjects_[aSubject];
  std::string fence = std::to_string(aFence);
  if (aFence < subject.newest_ && !aIsExcused) {
    found_({ "ONE",
             aSender + " acted for " + aSubject + " under " + fence +
               " after " + std::to_string(subject.newest_) });
  }
  auto holder = subject.senders_.try_emplace(aFence, aSender).first->second;
  if (holder != aSender) {
    found_({ "ONE",
             aSender + " and " + holder + " acted for " + aSubject + " under " +
               fence });
  }
  subject.newest_ = std::max(subject.newest_, aFence);
}

void
DutyJudge::Reported(std::uint64_t aWindow, const std::string& aCounts)
{
  auto first = windows_.try_emplace(aWindow, aCounts).first->second;
  if (first != aCounts) {
    found_({ "ONE",
             "window " + std::to_string(aWindow) + " was reported as " +
               aCounts + " after " + first });
  }
}

ConfigurationJudge::ConfigurationJudge(RequestJudge::FindingHook aFound)
  : found_(std::move(aFound))
{
}

void
ConfigurationJudge::Sent(std::uint64_t aNumber, const std::string& aDocument)
{
  documents_[aNumber] = aDocument;
}

void
ConfigurationJudge::Acknowledged(std::uint64_t aNumber)
{
  newest_ = std::max(newest_, aNumber);
}

std::uint64_t
ConfigurationJudge::NewestSent() const
{
  return documents_.empty() ? 0 : documents_.rbegin()->first;
}

void
ConfigurationJudge::Read(const std::string& aWhere,
                         std::uint64_t aAtLeast,
                         std::uint64_t aNumber,
                         const std::string& aDocument)
{
  if (aNumber < aAtLeast) {
    found_({ "CONFIG",
             aWhere + " shows " + std::to_string(aNumber) + " long after " +
               std::to_string(aAtLeast) + " was acknowledged" });
  }
  auto it = documents_.find(aNumber);
  if (it == documents_.end() || it->second != aDocument) {
    found_(
      { "CONFIG",
        aWhere + " shows what wasn't sent under " + std::to_string(aNumber) });
  }
}

void
ConfigurationJudge::Probed(const std::string& aEntry,
                           std::uint64_t aNumber,
                           bool aIsServed,
                           bool aIsDue)
{
  std::uint64_t& seen = seen_[aEntry];
  if (aIsServed) {
    seen = std::max(seen, aNumber);
    return;
  }
  if (seen >= aNumber) {
    found_(
      { "CONFIG", aEntry + " went back behind " + std::to_string(aNumber) });
  } else if (aIsDue) {
    found_({ "CONFIG",
             aEntry + " doesn't know " + std::to_string(aNumber) + " yet" });
  }
}

} // namespace tanagerstall::soak

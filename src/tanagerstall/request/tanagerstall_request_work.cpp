#include "tanagerstall/request/tanagerstall_request_work.hpp"

#include <algorithm>

namespace tanagerstall {

namespace {

/// The cost of an output token relative to a prompt token: every output token
/// takes a decoding step of its own.
constexpr double kOutputWeight = 10.0;
/// An answer counts as long if its weighted output tokens exceed the prompt
/// tokens by this factor.
constexpr double kLongAnswerFactor = 1.5;

bool
IsLongAnswer(const PromptFacts& aPrompt)
{
  return kOutputWeight * static_cast<double>(aPrompt.maxOutputTokens_) >
         kLongAnswerFactor * static_cast<double>(aPrompt.promptTokens_);
}

} // namespace

WorkClass
WorkClassOf(const ForwardedRequest& aRequest)
{
  if (aRequest.route_->kind_ != RequestKind::Stream) {
    return WorkClass::Plain;
  }
  return IsLongAnswer(aRequest.prompt_) ? WorkClass::Long : WorkClass::Short;
}

double
EstimateWork(const PromptFacts& aPrompt)
{
  return std::max(1.0,
                  static_cast<double>(aPrompt.promptTokens_) +
                    kOutputWeight *
                      static_cast<double>(aPrompt.maxOutputTokens_));
}

} // namespace tanagerstall

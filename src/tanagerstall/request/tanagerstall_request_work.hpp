#ifndef TANAGERSTALL_REQUEST_WORK_HPP_INCLUDED
#define TANAGERSTALL_REQUEST_WORK_HPP_INCLUDED

#include "tanagerstall/process/tanagerstall_work_class.hpp"
#include "tanagerstall/request/tanagerstall_forwarded_request.hpp"

namespace tanagerstall {

/// Whether generating the answer or reading the prompt takes most of the time.
WorkClass
WorkClassOf(const ForwardedRequest& aRequest);

/// Returns the estimated work of a request, in prompt tokens; at least 1.
double
EstimateWork(const PromptFacts& aPrompt);

} // namespace tanagerstall

#endif

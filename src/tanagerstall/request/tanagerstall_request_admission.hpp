#ifndef TANAGERSTALL_REQUEST_ADMISSION_HPP_INCLUDED
#define TANAGERSTALL_REQUEST_ADMISSION_HPP_INCLUDED

#include "tanagerstall/request/tanagerstall_admission_control.hpp"
#include "tanagerstall/request/tanagerstall_forward_refusal.hpp"
#include "tanagerstall/request/tanagerstall_forwarded_request.hpp"

#include <optional>

namespace tanagerstall {

/// Returns the refusal of a request that is not admitted, and logs the inputs
/// of that decision.
std::optional<ForwardRefusal>
RefuseByAdmission(AdmissionControl& aControl,
                  const ForwardedRequest& aRequest,
                  TimePoint aNow);

/// Tells the admission control what becomes of a request that is sent, which
/// must outlive this object.
class AdmissionObserver
{
public:
  AdmissionObserver(AdmissionControl& aControl,
                    const ForwardedRequest& aRequest,
                    Clock aClock);
  /// Observes the end of the request.
  ~AdmissionObserver();
  AdmissionObserver(const AdmissionObserver&) = delete;
  AdmissionObserver& operator=(const AdmissionObserver&) = delete;

  /// Later calls have no effect.
  void OnFirstPart();

private:
  AdmissionControl& control_;
  AdmissionRequest described_;
  TimePoint deadline_;
  Clock clock_;
  TimePoint sentAt_;
  bool hadFirstPart_ = false;
};

} // namespace tanagerstall

#endif

#ifndef TANAGERSTALL_CONFIGURATION_VIEW_HPP_INCLUDED
#define TANAGERSTALL_CONFIGURATION_VIEW_HPP_INCLUDED

#include "tanagerstall/process/tanagerstall_clock.hpp"
#include "tanagerstall/version/tanagerstall_configuration.hpp"
#include "tanagerstall/version/tanagerstall_configuration_command.hpp"
#include "tanagerstall/version/tanagerstall_record_error.hpp"

#include <functional>
#include <memory>
#include <vector>

namespace tanagerstall {

/// What a control process says of the configuration.
struct ConfigurationUpdate
{
  std::uint64_t revision_ = 0;
  /// The records are all there are; else those that changed after `after_`.
  bool isSnapshot_ = false;
  std::uint64_t after_ = 0;
  /// A quorum confirmed that nothing newer was accepted when it was read.
  bool isConfirmed_ = false;
  std::vector<StoredRecord> records_;
};

/// The configuration in force at an entry. Its revision never goes back, and
/// the first one that it takes is one that a quorum confirmed.
class ConfigurationView
{
public:
  enum class Outcome
  {
    /// The update is behind, or not enough to go on; nothing was taken.
    Ignored,
    Unchanged,
    Changed
  };
  using ErrorHook = std::function<void(const RecordError&)>;

  /// `aOnError` is called for a record that this program can't read; the
  /// one that was in force before stays.
  explicit ConfigurationView(ErrorHook aOnError = nullptr);

  Outcome Apply(const ConfigurationUpdate& aUpdate, TimePoint aNow);

  /// Whether there is a configuration to serve with.
  bool IsConfirmed() const { return isConfirmed_; }
  std::uint64_t Revision() const { return current_->revision_; }
  std::shared_ptr<const Configuration> Current() const { return current_; }
  /// When control last showed this configuration to be current;
  /// TimePoint::min() for never.
  TimePoint ConfirmedAt() const { return confirmedAt_; }

private:
  std::shared_ptr<const Configuration> Merge(
    const ConfigurationUpdate& aUpdate) const;

  ErrorHook onError_;
  std::shared_ptr<const Configuration> current_;
  bool isConfirmed_ = false;
  TimePoint confirmedAt_ = TimePoint::min();
};

} // namespace tanagerstall

#endif

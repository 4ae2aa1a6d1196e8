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

/// A configuration snapshot or delta that a control member sends to an entry.
struct ConfigurationUpdate
{
  std::uint64_t revision_ = 0;
  /// Whether `records_` is the whole configuration, rather than the records
  /// that changed after revision `after_`.
  bool isSnapshot_ = false;
  std::uint64_t after_ = 0;
  /// Whether a quorum confirmed that this was the newest accepted revision
  /// when it was read.
  bool isConfirmed_ = false;
  std::vector<StoredRecord> records_;
};

/// The configuration in force at an entry. Its revision never decreases, and
/// the first update it accepts must be confirmed by a quorum.
class ConfigurationView
{
public:
  enum class Outcome
  {
    /// The update is older than the current revision, is a delta with a gap, or
    /// is an unconfirmed first update; nothing changed.
    Ignored,
    Unchanged,
    Changed
  };
  using ErrorHook = std::function<void(const RecordError&)>;

  /// `aOnError` is called for a record that can't be parsed; the version
  /// previously in force is kept.
  explicit ConfigurationView(ErrorHook aOnError = nullptr);

  /// Applies an update; unless ignored, it also renews ConfirmedAt().
  Outcome Apply(const ConfigurationUpdate& aUpdate, TimePoint aNow);

  /// Returns whether a configuration to serve requests with has been received.
  bool IsConfirmed() const { return isConfirmed_; }
  std::uint64_t Revision() const { return current_->revision_; }
  std::shared_ptr<const Configuration> Current() const { return current_; }
  /// Returns when an update was last accepted; TimePoint::min() before the
  /// first one.
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

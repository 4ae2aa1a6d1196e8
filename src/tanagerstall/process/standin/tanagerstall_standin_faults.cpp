#include "tanagerstall/process/standin/tanagerstall_standin_faults.hpp"

#include <boost/json.hpp>
#include <functional>
#include <map>
#include <stdexcept>

namespace tanagerstall {

namespace json = boost::json;

namespace {

using Setter = std::function<void(StandinFaults&, const json::value&)>;

template<class Member>
Setter
Number(Member StandinFaults::*aMember)
{
  return [aMember](StandinFaults& aFaults, const json::value& aValue) {
    aFaults.*aMember = aValue.to_number<Member>();
  };
}

Setter
Milliseconds(std::chrono::milliseconds StandinFaults::*aMember)
{
  return [aMember](StandinFaults& aFaults, const json::value& aValue) {
    aFaults.*aMember =
      std::chrono::milliseconds(aValue.to_number<std::uint32_t>());
  };
}

Setter
Flag(bool StandinFaults::*aMember)
{
  return [aMember](StandinFaults& aFaults, const json::value& aValue) {
    aFaults.*aMember = aValue.as_bool();
  };
}

/// Throws if the value is no text of the form "NAME: VALUE", or "".
void
SetAnswerHeader(StandinFaults& aFaults, const json::value& aValue)
{
  auto header = json::value_to<std::string>(aValue);
  auto colon = header.find(": ");
  bool isHeader = colon != std::string::npos && colon > 0;
  if (!header.empty() && !isHeader) {
    throw std::invalid_argument("a header field is expected");
  }
  aFaults.answerHeader_ = std::move(header);
}

void
SetBreak(StandinFaults& aFaults, const json::value& aValue)
{
  static const std::map<std::string, StandinBreak> kBreaks{
    { "none", StandinBreak::None },
    { "reset_before_execution", StandinBreak::ResetBeforeExecution },
    { "reset_after_execution", StandinBreak::ResetAfterExecution },
    { "reset_mid_answer", StandinBreak::ResetMidAnswer },
    { "silent_before_answer", StandinBreak::SilentBeforeAnswer },
    { "silent_mid_answer", StandinBreak::SilentMidAnswer }
  };
  aFaults.break_ = kBreaks.at(json::value_to<std::string>(aValue));
}

const std::map<std::string, Setter>&
Setters()
{
  using Faults = StandinFaults;
  static const std::map<std::string, Setter> kSetters{
    { "stall_ms", Milliseconds(&Faults::stall_) },
    { "first_token_ms", Milliseconds(&Faults::firstToken_) },
    { "token_ms", Milliseconds(&Faults::betweenTokens_) },
    { "straggler_probability", Number(&Faults::stragglerProbability_) },
    { "straggler_factor", Number(&Faults::stragglerFactor_) },
    { "seed", Number(&Faults::seed_) },
    { "break", SetBreak },
    { "break_count", Number(&Faults::breakCount_) },
    { "break_after_tokens", Number(&Faults::breakAfterTokens_) },
    { "late_answer_ms", Milliseconds(&Faults::lateAnswer_) },
    { "load_report_delay_ms", Milliseconds(&Faults::loadReportDelay_) },
    { "slots", Number(&Faults::slots_) },
    { "batch_slowdown", Number(&Faults::batchSlowdown_) },
    { "deduplicates", Flag(&Faults::deduplicates_) },
    { "refuses", Flag(&Faults::refuses_) },
    { "answer_header", SetAnswerHeader },
    { "holds", Flag(&Faults::holds_) }
  };
  return kSetters;
}

} // namespace

tl::expected<StandinFaults, std::string>
ReadStandinFaults(std::string_view aJson, StandinFaults aBase)
{
  json::error_code error;
  json::value body = json::parse({ aJson.data(), aJson.size() }, error);
  if (error || !body.is_object()) {
    return tl::make_unexpected(std::string("the faults must be a JSON object"));
  }
  for (const auto& [name, value] : body.get_object()) {
    auto setter = Setters().find(std::string(name));
    if (setter == Setters().end()) {
      return tl::make_unexpected("unknown fault: " + std::string(name));
    }
    try {
      setter->second(aBase, value);
    } catch (const std::exception&) {
      return tl::make_unexpected("invalid value of fault: " +
                                 std::string(name));
    }
  }
  return aBase;
}

} // namespace tanagerstall

#ifndef TANAGERSTALL_LEDGER_CODEC_HPP_INCLUDED
#define TANAGERSTALL_LEDGER_CODEC_HPP_INCLUDED

#include "tanagerstall/process/tanagerstall_bytes.hpp"
#include "tanagerstall/request/tanagerstall_ledger_record.hpp"

#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace tanagerstall {

/// Query for the record of one key.
struct LedgerLookup
{
  std::string organisation_;
  std::string key_;
};

using LedgerQuery = std::variant<LedgerLookup, LedgerFilter>;

// The Read functions return nullopt if the bytes don't hold such a message.

Bytes
WriteCommand(const LedgerCommand& aCommand);
std::optional<LedgerCommand>
ReadCommand(BytesView aBytes);

Bytes
WriteResult(const LedgerResult& aResult);
std::optional<LedgerResult>
ReadResult(BytesView aBytes);

Bytes
WriteQuery(const LedgerQuery& aQuery);
std::optional<LedgerQuery>
ReadQuery(BytesView aBytes);

Bytes
WriteRecords(const std::vector<LedgerRecord>& aRecords);
std::optional<std::vector<LedgerRecord>>
ReadRecords(BytesView aBytes);

Bytes
WriteLedgerSnapshot(const LedgerSnapshot& aSnapshot);
std::optional<LedgerSnapshot>
ReadLedgerSnapshot(BytesView aBytes);

} // namespace tanagerstall

#endif

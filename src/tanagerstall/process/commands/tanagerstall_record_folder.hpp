#ifndef TANAGERSTALL_RECORD_FOLDER_HPP_INCLUDED
#define TANAGERSTALL_RECORD_FOLDER_HPP_INCLUDED

#include "tanagerstall/version/tanagerstall_record_error.hpp"

#include <filesystem>
#include <map>
#include <string>
#include <vector>

namespace tanagerstall {

/// An error in a record, and the file that contains it.
struct FileError
{
  std::string file_;
  RecordError error_;
};

/// A record read from a file.
struct FolderRecord
{
  std::string file_;
  /// The record's JSON.
  std::string body_;
};

/// Records read from a folder, and the errors found.
struct RecordFolder
{
  /// Valid records by "kind/name".
  std::map<std::string, FolderRecord> records_;
  std::vector<FileError> errors_;
};

/// Reads and checks every .json file below a folder, or a single file. Each
/// file contains one record or an array of records.
RecordFolder
ReadRecordFolder(const std::filesystem::path& aPath);

} // namespace tanagerstall

#endif

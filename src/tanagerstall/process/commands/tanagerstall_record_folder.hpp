#ifndef TANAGERSTALL_RECORD_FOLDER_HPP_INCLUDED
#define TANAGERSTALL_RECORD_FOLDER_HPP_INCLUDED

#include "tanagerstall/version/tanagerstall_record_error.hpp"

#include <filesystem>
#include <map>
#include <string>
#include <vector>

namespace tanagerstall {

/// An error of a record and the file that holds it.
struct FileError
{
  std::string file_;
  RecordError error_;
};

/// One record of a folder.
struct FolderRecord
{
  std::string file_;
  /// The JSON of the file.
  std::string body_;
};

/// The records of a folder that is kept in version control.
struct RecordFolder
{
  /// By "kind/name".
  std::map<std::string, FolderRecord> records_;
  std::vector<FileError> errors_;
};

/// Reads and checks every .json file below a folder, or one file. Each file
/// holds one record or a list of records.
RecordFolder
ReadRecordFolder(const std::filesystem::path& aPath);

} // namespace tanagerstall

#endif

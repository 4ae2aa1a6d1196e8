#include "tanagerstall/process/commands/tanagerstall_record_folder.hpp"

#include "tanagerstall/version/tanagerstall_record_codec.hpp"

#include <algorithm>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <fstream>
#include <iterator>

namespace tanagerstall {

namespace fs = std::filesystem;
namespace json = boost::json;

namespace {

std::vector<fs::path>
FindFiles(const fs::path& aPath)
{
  std::vector<fs::path> files;
  if (!fs::is_directory(aPath)) {
    files.push_back(aPath);
    return files;
  }
  for (const auto& item : fs::recursive_directory_iterator(aPath)) {
    if (item.is_regular_file() && item.path().extension() == ".json") {
      files.push_back(item.path());
    }
  }
  std::sort(files.begin(), files.end());
  return files;
}

void
AddRecord(RecordFolder& aFolder,
          const std::string& aFile,
          const json::value& aValue)
{
  std::string body = json::serialize(aValue);
  auto record = ReadRecord(body);
  if (!record) {
    aFolder.errors_.push_back({ aFile, record.error() });
    return;
  }
  auto [known, isNew] =
    aFolder.records_.emplace(record->key_, FolderRecord{ aFile, body });
  if (!isNew) {
    aFolder.errors_.push_back(
      { aFile, { record->key_, "name", "is also in " + known->second.file_ } });
  }
}

void
AddFile(RecordFolder& aFolder, const fs::path& aFile)
{
  std::ifstream stream(aFile);
  std::string text(std::istreambuf_iterator<char>(stream), {});
  if (!stream) {
    aFolder.errors_.push_back({ aFile.string(), { "", "", "can't be read" } });
    return;
  }
  json::error_code error;
  json::value value = json::parse(text, error);
  if (error) {
    aFolder.errors_.push_back(
      { aFile.string(), { "", "", "is not JSON: " + error.message() } });
    return;
  }
  if (!value.is_array()) {
    AddRecord(aFolder, aFile.string(), value);
    return;
  }
  for (const json::value& record : value.get_array()) {
    AddRecord(aFolder, aFile.string(), record);
  }
}

} // namespace

RecordFolder
ReadRecordFolder(const fs::path& aPath)
{
  RecordFolder folder;
  for (const fs::path& file : FindFiles(aPath)) {
    AddFile(folder, file);
  }
  return folder;
}

} // namespace tanagerstall

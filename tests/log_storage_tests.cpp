// Guards against lost or corrupt stored data: an incomplete record at the end
// of the log, left by a crash, is truncated; any other corruption is an error.
#define BOOST_TEST_MODULE log_storage
#include "tanagerstall/process/raft/tanagerstall_log_storage.hpp"
#include "tanagerstall/process/raft/tanagerstall_raft_identity.hpp"
#include "tanagerstall_fake_disk.hpp"

#include <atomic>
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <cerrno>
#include <filesystem>
#include <unistd.h>

using namespace tanagerstall;
namespace data = boost::unit_test::data;

namespace {

/// Whether a sync has to fail as it does on a full disk that allocates blocks
/// only when it writes them back.
std::atomic<bool> gIsSyncRefused{ false };

} // namespace

extern "C" int
fdatasync(int aFile) // NOLINT(readability-identifier-naming)
{
  if (gIsSyncRefused) {
    errno = ENOSPC;
    return -1;
  }
  return ::fsync(aFile);
}

namespace {

LogEntry
Entry(LogIndex aIndex, Term aTerm, std::string_view aText)
{
  auto view = ViewOf(aText);
  return {
    aIndex, aTerm, EntryKind::Command, { view.begin(), view.end() }, {}
  };
}

struct Fixture
{
  FakeDisk disk_;

  LogStorage Storage() { return { disk_.Hooks(), "group" }; }

  /// Three entries in two writes.
  void Fill()
  {
    auto storage = Storage();
    storage.Open();
    storage.Write({ 1, 7 }, { Entry(1, 1, "a"), Entry(2, 1, "b") });
    storage.Write({ 2, 0 }, { Entry(3, 2, "c") });
  }
};

} // namespace

BOOST_FIXTURE_TEST_CASE(Written_entries_are_read_back,
                        Fixture,
                        *boost::unit_test::label("log"))
{
  Fill();
  auto start = Storage().Open();
  BOOST_TEST(start.entries_.size() == 3U);
  BOOST_TEST((start.hardState_ == HardState{ 2, 0 }));
  BOOST_TEST(TextOf(start.entries_[2].command_) == "c");
}

BOOST_FIXTURE_TEST_CASE(An_entry_replaces_the_entries_from_its_index_on,
                        Fixture,
                        *boost::unit_test::label("log"))
{
  Fill();
  Storage().Write({ 3, 0 }, { Entry(2, 3, "new") });
  auto start = Storage().Open();
  BOOST_TEST(start.entries_.size() == 2U);
  BOOST_TEST(TextOf(start.entries_[1].command_) == "new");
}

BOOST_FIXTURE_TEST_CASE(An_incomplete_last_record_of_any_length_is_truncated,
                        Fixture,
                        *boost::unit_test::label("log"))
{
  Fill();
  Bytes whole = disk_.Content("group.log");
  Storage().Write({ 2, 0 }, { Entry(4, 2, "torn") });
  Bytes longer = disk_.Content("group.log");
  for (std::size_t size = whole.size(); size < longer.size(); ++size) {
    Bytes& content = disk_.Content("group.log");
    content.assign(longer.begin(),
                   longer.begin() + static_cast<std::ptrdiff_t>(size));
    BOOST_TEST(Storage().Open().entries_.size() == 3U);
    BOOST_TEST(disk_.Content("group.log").size() == whole.size());
  }
}

BOOST_FIXTURE_TEST_CASE(Corruption_before_whole_records_is_an_error,
                        Fixture,
                        *boost::unit_test::label("log"))
{
  Fill();
  Bytes whole = disk_.Content("group.log");
  std::size_t last = whole.size();
  Storage().Write({ 2, 0 }, { Entry(4, 2, "d") });
  whole = disk_.Content("group.log");
  for (std::size_t at = 0; at < last; at += 3) {
    disk_.Content("group.log") = whole;
    disk_.Content("group.log")[at] ^= 0x40;
    BOOST_CHECK_THROW(Storage().Open(), DiskError);
  }
}

BOOST_TEST_DECORATOR(*boost::unit_test::label("log"))
BOOST_DATA_TEST_CASE(A_corrupt_snapshot_is_an_error,
                     data::xrange(0, 200, 10),
                     position)
{
  Fixture fixture;
  RaftSnapshot snapshot{ 5, 2, { { 1, "a", "", "", true } }, Bytes(100) };
  RaftStart start{
    { 2, 0 }, std::make_shared<RaftSnapshot>(snapshot), 5, 2, {}
  };
  fixture.Storage().WriteSnapshot({ 2, 0 }, snapshot, RaftLog(start));
  BOOST_TEST(fixture.Storage().Open().snapshot_->members_.size() == 1U);
  fixture.disk_.Content("group.snapshot")
    .at(static_cast<std::size_t>(position)) ^= 1;
  BOOST_CHECK_THROW(fixture.Storage().Open(), DiskError);
}

BOOST_FIXTURE_TEST_CASE(A_snapshot_newer_than_the_log_starts_a_new_log,
                        Fixture,
                        *boost::unit_test::label("log"))
{
  Fill();
  Bytes log = disk_.Content("group.log");
  RaftSnapshot snapshot{ 9, 4, {}, {} };
  RaftStart start{
    { 4, 0 }, std::make_shared<RaftSnapshot>(snapshot), 9, 4, {}
  };
  Storage().WriteSnapshot({ 4, 0 }, snapshot, RaftLog(start));
  // Simulates that the process ended between the writes of the two files.
  disk_.Content("group.log") = log;
  auto found = Storage().Open();
  BOOST_TEST(found.baseIndex_ == 9U);
  BOOST_TEST(found.entries_.empty());
  BOOST_TEST(Storage().Open().baseIndex_ == 9U);
}

BOOST_FIXTURE_TEST_CASE(A_failed_sync_throws,
                        Fixture,
                        *boost::unit_test::label("log"))
{
  Fill();
  disk_.failsSyncs_ = true;
  BOOST_CHECK_THROW(Storage().Write({ 3, 0 }, {}), DiskError);
}

// Guards against entries and votes that a restarted process answers for and
// that a loss of power then takes: its former process ended before the sync.
BOOST_FIXTURE_TEST_CASE(What_a_start_reads_survives_a_later_loss_of_power,
                        Fixture,
                        *boost::unit_test::label("log"))
{
  Fill();
  disk_.failsSyncs_ = true;
  BOOST_CHECK_THROW(Storage().Write({ 3, 7 }, { Entry(4, 3, "d") }), DiskError);
  disk_.failsSyncs_ = false;
  auto read = Storage().Open();
  std::mt19937_64 random(1);
  disk_.Crash(random, false);
  auto left = Storage().Open();
  BOOST_TEST(read.entries_.size() == left.entries_.size());
  BOOST_TEST((read.hardState_ == left.hardState_));
}

BOOST_FIXTURE_TEST_CASE(An_identity_is_read_back_and_its_corruption_detected,
                        Fixture,
                        *boost::unit_test::label("log"))
{
  auto identity = MakeIdentity("control-1");
  BOOST_TEST(identity.member_.key_ != MakeIdentity("control-1").member_.key_);
  WriteIdentity(disk_.Hooks(), identity);
  BOOST_TEST((ReadIdentity(disk_.Hooks())->member_ == identity.member_));
  disk_.Content("identity").back() ^= 1;
  BOOST_CHECK_THROW(ReadIdentity(disk_.Hooks()), DiskError);
}

BOOST_AUTO_TEST_CASE(A_write_to_a_full_disk_can_be_repeated,
                     *boost::unit_test::label("log"))
{
  auto folder = std::filesystem::temp_directory_path() /
                ("tanagerstall-full-" + std::to_string(::getpid()));
  std::filesystem::create_directories(folder);
  // Writes to this device fail as they do on a full disk.
  std::filesystem::create_symlink("/dev/full", folder / "group.log");
  {
    LogDisk disk = OpenLogDisk(folder);
    for (int i = 0; i < 2; ++i) {
      BOOST_CHECK_THROW(disk.append_("group.log", ViewOf("text")),
                        DiskFullError);
    }
    disk.remove_("group.log");
    disk.append_("group.log", ViewOf("text"));
    BOOST_TEST(disk.read_("group.log")->size() == 4U);
  }
  std::filesystem::remove_all(folder);
}

// Guards against a record that stays in the log although its sync found no
// room: repeated attempts would fill the disk, and a later sync doesn't cover
// it.
BOOST_AUTO_TEST_CASE(A_record_whose_sync_found_no_room_is_written_once,
                     *boost::unit_test::label("log"))
{
  auto folder = std::filesystem::temp_directory_path() /
                ("tanagerstall-sync-" + std::to_string(::getpid()));
  {
    LogStorage storage(OpenLogDisk(folder), "group");
    storage.Open();
    storage.Write({ 1, 0 }, { Entry(1, 1, "a") });
    auto before = std::filesystem::file_size(folder / "group.log");
    gIsSyncRefused = true;
    for (int i = 0; i < 3; ++i) {
      BOOST_CHECK_THROW(storage.Write({ 1, 0 }, { Entry(2, 1, "b") }),
                        DiskFullError);
    }
    gIsSyncRefused = false;
    storage.Write({ 1, 0 }, { Entry(2, 1, "b") });
    auto record = std::filesystem::file_size(folder / "group.log") - before;
    storage.Write({ 1, 0 }, { Entry(3, 1, "c") });
    BOOST_TEST(std::filesystem::file_size(folder / "group.log") ==
               before + 2 * record);
  }
  BOOST_TEST(LogStorage(OpenLogDisk(folder), "group").Open().entries_.size() ==
             3U);
  std::filesystem::remove_all(folder);
}

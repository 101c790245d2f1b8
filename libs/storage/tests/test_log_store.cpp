#include <catch2/catch.hpp>

#include <base/digest.hpp>
#include <storage/log_store.hpp>
#include <storage/posix_files.hpp>

#include <filesystem>

#include "memory_files.hpp"

using namespace cuminledge;
using namespace cuminledge::storage;

namespace {

wire::log_entry entry(std::uint64_t index, std::uint64_t term, std::string payload)
{
    return { index, term, wire::log_entry_kind::Command, std::move(payload) };
}

/// A folder of the machine that is deleted at the end of the test.
struct temporary_folder {
    std::string path
        = (std::filesystem::temp_directory_path() / ("cuminledge-" + randomHex(8))).string();
    ~temporary_folder() { std::filesystem::remove_all(path); }
};

} // namespace

TEST_CASE("a snapshot is written without being copied first", "[storage]")
{
    test::memory_files files;
    auto opened = openStore(files, "data", 0, 42);
    REQUIRE(opened);
    write_request request;
    request.hasSnapshot = true;
    request.snapshotIndex = 1;
    request.snapshot = std::string(1000, 's');
    REQUIRE(opened->store->write(request));
    CHECK(files.appendedFrom.contains(request.snapshot.data()));
    const auto again = openStore(files, "data", 0, 43);
    REQUIRE(again);
    CHECK(again->loaded.snapshot == request.snapshot);
}

TEST_CASE("a store on the machine's files gives back what was synced", "[storage]")
{
    posix_files files;
    const temporary_folder folder;
    {
        auto opened = openStore(files, folder.path, 7, 42);
        REQUIRE(opened);
        CHECK(opened->loaded.isNew);
        write_request request;
        request.hasHardState = true;
        request.term = 3;
        request.votedFor = "c1#1";
        request.entries = { entry(1, 1, "a"), entry(2, 1, "b"), entry(3, 1, "c") };
        REQUIRE(opened->store->write(request));
        write_request second;
        second.truncateFrom = 3;
        second.entries = { entry(3, 3, "d"), entry(4, 3, "e") };
        REQUIRE(opened->store->write(second));
        REQUIRE(opened->store->sync());
        write_request snapshot;
        snapshot.hasSnapshot = true;
        snapshot.snapshotIndex = 2;
        snapshot.snapshotTerm = 1;
        snapshot.snapshot = "ab";
        REQUIRE(opened->store->write(snapshot));
    }
    auto opened = openStore(files, folder.path, 7, 43);
    REQUIRE(opened);
    const auto& loaded = opened->loaded;
    CHECK_FALSE(loaded.isNew);
    CHECK(loaded.diskIncarnation == 42);
    CHECK(loaded.term == 3);
    CHECK(loaded.votedFor == "c1#1");
    CHECK(loaded.snapshotIndex == 2);
    CHECK(loaded.snapshot == "ab");
    REQUIRE(loaded.entries.size() == 2);
    CHECK(loaded.entries[0].payload == "d");
    CHECK(loaded.entries[1].index == 4);
}

#include <config/config.h>

#include <chrono>
#include <cstdio>
#include <malloc.h>

/** The merge of configuration at the size of the letter: 5,000 items and 2,200 changes a day. */
namespace
{

using namespace lacewing;
using namespace lacewing::config;

constexpr std::size_t items = 5'000;
constexpr std::size_t changes = 2'200;

double microsecondsSince(std::chrono::steady_clock::time_point start)
{
    return std::chrono::duration<double, std::micro>(std::chrono::steady_clock::now() - start).count();
}

log::Record recordOf(std::uint64_t offset, std::size_t workspace, std::uint64_t base)
{
    const Item item = WorkspaceSpec { WorkspaceId("workspace-" + std::to_string(workspace)), std::to_string(offset) };
    const Change change {
        ChangeId("change-" + std::to_string(offset)), OperatorId("operator"), keyOf(item), item, ConfigVersion(base)
    };
    return { LogOffset(offset), encode(change), {} };
}

log::ReadAnswer answerOf(std::vector<log::Record> records)
{
    const LogOffset next = records.back().offset.next();
    return { {}, {}, true, LogOffset(1), next, std::move(records) };
}

} // namespace

int main()
{
    std::vector<log::Record> first;
    for (std::size_t i = 0; i < items; ++i) {
        first.push_back(recordOf(i + 1, i, 0));
    }
    const auto start = answerOf(std::move(first));
    const std::size_t before = mallinfo2().uordblks;
    Store store;
    auto clock = std::chrono::steady_clock::now();
    store.read(start);
    std::printf("start from %zu records: %.2f us per record\n", items, microsecondsSince(clock) / items);

    double spent = 0;
    std::size_t accepted = 0;
    for (std::size_t i = 0; i < changes; ++i) {
        const std::size_t workspace = i % items;
        const auto answer = answerOf({ recordOf(items + i + 1, workspace, workspace + 1) });
        clock = std::chrono::steady_clock::now();
        accepted += store.read(answer).front().rejected ? 0 : 1;
        spent += microsecondsSince(clock);
    }
    std::printf(
        "%zu of %zu changes accepted one by one: %.0f us each, published\n", accepted, changes, spent / changes);
    std::printf("memory of the store: %.1f MB\n", double(mallinfo2().uordblks - before) / 1e6);

    clock = std::chrono::steady_clock::now();
    std::size_t bytes = 0;
    const auto snapshot = store.snapshot(LogOffset(1));
    for (const SnapshotPart &part : snapshot) {
        bytes += encode(part).size();
    }
    std::printf(
        "snapshot: %zu records, %.0f KB, %.0f us\n", snapshot.size(), double(bytes) / 1e3, microsecondsSince(clock));
    clock = std::chrono::steady_clock::now();
    const Update update = store.updateSince(ConfigVersion(store.asOf().value() - 1));
    std::printf("update of %zu item: %.0f us\n", update.items.size(), microsecondsSince(clock));
    return 0;
}

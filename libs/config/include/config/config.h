#pragma once

#include <base/base.h>
#include <log/log.h>

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <tuple>
#include <variant>
#include <vector>

/**
 * The fleet's configuration: what operators state, its validation, and its merge by version. Pure data and rules.
 *
 * Structs that cross VMs or the log have members(), which ties their fields in a fixed order for the codec.
 */
namespace lacewing::config
{

/** What a stage does, and so which kind of endpoint runs it. */
enum class StageKind : std::uint8_t { Encode, Retrieve, Rerank, Generate, Service };

/** "encode", "retrieve", "rerank", "generate" or "service". */
std::string_view toText(StageKind kind) noexcept;
/** Reads what toText() wrote. */
std::optional<StageKind> stageKindFromText(std::string_view text) noexcept;

/** One stage of a pipeline. */
struct StageSpec {
    std::string name; ///< unique within its pipeline
    StageKind kind = StageKind::Service;
    PoolId pool; ///< the endpoints that can run it
    ModelId model; ///< for stages that run a model; empty for others
    bool repeatable = true; ///< false: a call may not be made twice

    bool operator==(const StageSpec &) const = default;
    LACEWING_MEMBERS(name, kind, pool, model, repeatable)
};

/** Stages that run one after the other, each fed with the result of the one before. */
struct PipelineSpec {
    PipelineId id;
    std::vector<StageSpec> stages; ///< 1 to maxStages

    bool operator==(const PipelineSpec &) const = default;
    LACEWING_MEMBERS(id, stages)
};

/** A class of work: its pipeline and the operators' targets for it. */
struct ClassSpec {
    ClassId id;
    PipelineId pipeline;
    Duration completion {}; ///< a job counts as met when its whole answer is there within this; 10 ms to 10 min
    double share = 0.95; ///< part of all jobs that must be met; over 0, at most 0.9999
    Cost cost; ///< target for the mean cost of a met job; over 0
    std::optional<Duration> firstToken; ///< for streams: the first token within this
    std::optional<Duration> tokenGap; ///< for streams: between tokens, within this

    bool operator==(const ClassSpec &) const = default;
    LACEWING_MEMBERS(id, pipeline, completion, share, cost, firstToken, tokenGap)
};

/** A customer, and the token its callers show. */
struct WorkspaceSpec {
    WorkspaceId id;
    std::string callerTokenHash; ///< SHA-256 in hexadecimal of the callers' bearer token; empty: no token asked

    bool operator==(const WorkspaceSpec &) const = default;
    LACEWING_MEMBERS(id, callerTokenHash)
};

/** Traits that all endpoints of a pool share. Addresses come from the platform's list, never from here. */
struct PoolSpec {
    PoolId id;
    StageKind kind = StageKind::Service;
    bool honoursFencing = false; ///< endpoints refuse orders with an old fencing number
    bool resumable = false; ///< a cut stream can be resumed at an offset
    Cost costPerSecond; ///< price of one busy endpoint slot for a second; 0 or more

    bool operator==(const PoolSpec &) const = default;
    LACEWING_MEMBERS(id, kind, honoursFencing, resumable, costPerSecond)
};

/** A model that engines can load. */
struct ModelSpec {
    ModelId id;
    Bytes weights; ///< size to fetch from the weight store

    bool operator==(const ModelSpec &) const = default;
    LACEWING_MEMBERS(id, weights)
};

/** One independently versioned part of the configuration. */
using Item = std::variant<ClassSpec, PipelineSpec, WorkspaceSpec, PoolSpec, ModelSpec>;

/** Names an item: "class/<id>", "pipeline/<id>", "workspace/<id>", "pool/<id>" or "model/<id>". */
using ItemKey = Name<struct ItemKeyTag>;

/** The key of an item. */
ItemKey keyOf(const Item &item);

/** Bounds on the configuration. */
constexpr std::size_t maxStages = 16;
constexpr std::size_t maxItems = 20'000;
constexpr std::size_t maxNameLength = 100;

/** Names one change, chosen by the tool that makes it; finds the change again when its answer was lost. */
using ChangeId = Name<struct ChangeIdTag>;

/** A change of one item as an operator asks for it. */
struct Change {
    ChangeId id;
    OperatorId by;
    ItemKey key;
    std::optional<Item> item; ///< empty removes the item
    ConfigVersion base; ///< version of the item that the change was made against; 0 for a new item

    bool operator==(const Change &) const = default;
    LACEWING_MEMBERS(id, by, key, item, base)
};

/** An item with the version that set it; a tombstone when it was removed. */
struct VersionedItem {
    ItemKey key;
    ConfigVersion version;
    std::optional<Item> item; ///< empty: removed

    bool operator==(const VersionedItem &) const = default;
    LACEWING_MEMBERS(key, version, item)
};

/** All items together, as traffic sees them. Immutable once published. */
struct FleetConfig {
    ConfigVersion version; ///< highest version contained
    std::map<ClassId, ClassSpec> classes;
    std::map<PipelineId, PipelineSpec> pipelines;
    std::map<WorkspaceId, WorkspaceSpec> workspaces;
    std::map<PoolId, PoolSpec> pools;
    std::map<ModelId, ModelSpec> models;

    bool operator==(const FleetConfig &) const = default;
};

/** Sets one item in a configuration, or removes it. References to it are not checked. */
void overlay(FleetConfig &configuration, const VersionedItem &item);

/** Reads a configuration file in TOML into items. Errors name the line and key. */
Result<std::vector<Item>> parseItems(std::string_view toml);
/** Writes items as TOML that parseItems() reads back as equal. */
std::string toToml(const std::vector<Item> &items);
/** Checks the ranges of one item's own values. */
Result<void> validate(const Item &item);
/** Checks references between items: classes name pipelines, stages name pools of their kind and known models. */
Result<void> validate(const FleetConfig &configuration);

/** Name of the log stream that configuration travels on. */
constexpr std::string_view streamName = "config";

/** What became of a change, as decided by its place in the log. */
struct ChangeResult {
    ChangeId id;
    ItemKey key;
    OperatorId by;
    ConfigVersion version; ///< version of the change; when rejected, the offset at which it was judged
    ConfigVersion current; ///< version of the item after the change was judged; 0: there is no such item
    std::optional<ErrorKind> rejected; ///< empty: accepted; Conflict: the item had changed since the named base

    bool operator==(const ChangeResult &) const = default;
    LACEWING_MEMBERS(id, key, by, version, current, rejected)
};

/** One of the records that together hold the whole state as of one version. */
struct SnapshotPart {
    ConfigVersion asOf; ///< every record up to this offset is contained
    ConfigVersion tombstoneFloor; ///< tombstones older than this were dropped
    LogOffset retainedFrom; ///< oldest offset that the log kept when this was written
    std::uint32_t part = 0; ///< from 0
    std::uint32_t parts = 1;
    std::vector<VersionedItem> items; ///< in order of keys, tombstones included; at most maxItemsPerPart
    std::vector<ChangeResult> results; ///< in part 0: the latest results, so that copies of a change are recognised

    bool operator==(const SnapshotPart &) const = default;
    LACEWING_MEMBERS(asOf, tombstoneFloor, retainedFrom, part, parts, items, results)
};

/** Largest number of items in one SnapshotPart. */
constexpr std::size_t maxItemsPerPart = 200;
/** Number of the latest results in a snapshot. */
constexpr std::size_t maxResultsInSnapshot = 200;

/** A record of the configuration stream. */
using LogEntry = std::variant<Change, SnapshotPart>;

/** The bytes of a record. */
std::string encode(const LogEntry &entry);
/** Reads what encode() wrote; Malformed otherwise. */
Result<LogEntry> decodeEntry(std::string_view bytes);

/**
 * What one VM tells another: all items whose version is in (after, upTo], or the whole state when `after` is 0.
 *
 * The receiver then has the state as of `upTo`, exactly as if it had read the log that far.
 */
struct Update {
    ConfigVersion after; ///< the receiver must have at least this; 0: the update is the whole state
    ConfigVersion upTo;
    ConfigVersion tombstoneFloor;
    std::vector<VersionedItem> items; ///< tombstones included
    std::vector<ChangeResult> results; ///< the latest results that the sender knows in this range

    bool operator==(const Update &) const = default;
    LACEWING_MEMBERS(after, upTo, tombstoneFloor, items, results)
};

/** What merge() did with an Update. */
enum class Merge : std::uint8_t {
    Applied, ///< the store is now at the update's version
    Known, ///< the store was as far already
    Gap, ///< not applied: ask a peer for updateSince(asOf())
};

/**
 * Merges configuration by version on one VM. Not thread-safe; what current() returns may be shared by threads.
 *
 * Its state is always the state of the log as of one offset, asOf(), and never goes back. A change is accepted iff its
 * `base` is the item's current version and all references still hold with it; this depends on the order of the log
 * alone, so that every VM decides alike. It reaches asOf() by reading the log, by an Update from a peer or by a
 * snapshot, and skips records that are contained already. Offset 0 can't be a version (0 means "no item"): a change
 * there is rejected as Unavailable.
 *
 * A removed item leaves a tombstone whose version a new item under that key must name as its base. Tombstones older
 * than the `retainedFrom` of a snapshot are dropped where that snapshot stands in the log.
 */
class Store
{
public:
    /** @param maxResults how many results of changes are remembered; the oldest are forgotten first */
    explicit Store(std::size_t maxResults = 1'000);
    ~Store();
    Store(Store &&) noexcept;
    Store &operator=(Store &&) noexcept;

    /**
     * Takes the answer to a read from nextRead(), or from before it. Records that are contained already are skipped.
     * When the log no longer keeps the record after asOf(), records are held back until a snapshot or an Update closes
     * the gap.
     *
     * @return results of the changes judged, in the order of the log
     */
    std::vector<ChangeResult> read(const log::ReadAnswer &answer);
    /** Offset from which to read on. */
    LogOffset nextRead() const noexcept;

    /** Takes an update from a peer. */
    Merge merge(const Update &update);
    /** What a peer that has the state as of `after` lacks; the whole state when a part can't be told. */
    Update updateSince(ConfigVersion after) const;
    /** The whole state as records for the log, for the holder of the snapshot lease. @param retainedFrom of the log */
    std::vector<SnapshotPart> snapshot(LogOffset retainedFrom) const;
    /** Version of the newest complete snapshot seen in the log, and the platform's time of its last part. */
    std::optional<std::pair<ConfigVersion, WallTime>> lastSnapshot() const noexcept;

    /** The configuration in force; never null, empty before the first change. */
    std::shared_ptr<const FleetConfig> current() const noexcept;
    /** The version that the state is as of; empty while there is none, so that a starting VM isn't ready. */
    std::optional<ConfigVersion> readyAsOf() const noexcept;
    /** As readyAsOf(); 0 when there is none. */
    ConfigVersion asOf() const noexcept;
    /** True while records are held back because earlier ones are gone from the log. */
    bool needsSnapshot() const noexcept;

    /** Version to name as the base of a change of this item: 0 for a new one, a removed item's tombstone. */
    ConfigVersion versionOf(const ItemKey &key) const;
    /** All items with their versions, tombstones included, in order of keys. */
    std::vector<VersionedItem> items() const;
    /** What became of a change, while remembered. */
    std::optional<ChangeResult> resultOf(const ChangeId &id) const;

private:
    class State;
    std::unique_ptr<State> state_;
};

} // namespace lacewing::config

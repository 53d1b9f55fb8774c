#pragma once

#include <base/base.h>
#include <config/config.h>

#include <map>
#include <string>
#include <string_view>
#include <vector>

/** What the stand-in plays, read from its JSON file. */
namespace lacewing::standin
{

/** One pool of endpoints. */
struct PoolSettings {
    PoolId id;
    config::StageKind kind = config::StageKind::Service;
    std::size_t count = 1;
    std::vector<std::string> zones; ///< endpoint i is in zone i modulo their number
    std::string base = "127.0.0.1:0"; ///< address of the first; the next ones count the ip up; port 0: any
    std::size_t slots = 8; ///< calls worked on at a time
    std::size_t maxWaiting = 64; ///< calls queued; one more is declined as not started
    Duration serviceTime = std::chrono::milliseconds(10); ///< median time of a call that doesn't generate
    double serviceSigma = 0; ///< of the logarithm of the service time
    double tokensPerSecond = 100; ///< of one stream
    double prefillTokensPerSecond = 20'000;
    std::size_t cacheBlocks = 4096; ///< of the prefix cache
    Duration cacheEventLag = std::chrono::milliseconds(200);
    bool honoursFencing = true;
    bool resumable = true;
    Duration resumeTime = std::chrono::seconds(10); ///< how long a cut stream is kept
    Duration loadLag = std::chrono::milliseconds(250);
    Duration restartTime = std::chrono::seconds(1);
    Duration roleTime = std::chrono::milliseconds(500); ///< to change role
    std::vector<std::string> models; ///< loaded at the start
};

/** The log's bounds. */
struct LogSettings {
    std::size_t maxRecords = 100'000; ///< kept for each stream
    Duration keep = std::chrono::hours(1);
    double appendsPerSecond = 500;
};

/** Everything. */
struct Settings {
    std::string address = "127.0.0.1:0"; ///< of the platform
    std::map<std::string, std::string> regions; ///< region by zone
    Duration vmLag = std::chrono::milliseconds(500); ///< age of the list of VMs
    Duration vmExpiry = std::chrono::seconds(10); ///< an entry VM that isn't renewed leaves the list
    LogSettings log;
    double weightBytesPerSecond = 1e9; ///< of the weight store, for all engines together
    std::map<std::string, std::uint64_t> models; ///< bytes of weights by model
    std::uint64_t seed = 1;
    std::vector<PoolSettings> pools;
};

/** Reads settings; unknown keys and wrong types fail. */
Result<Settings> settingsFromJson(std::string_view text);

} // namespace lacewing::standin

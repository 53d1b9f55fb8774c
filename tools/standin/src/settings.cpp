#include "settings.h"

#include <functional>

#include <net/net.h>
#include <nlohmann/json.hpp>

namespace lacewing::standin
{
namespace
{

using Json = nlohmann::json;
using Setter = std::function<void(const Json &)>;
using Setters = std::map<std::string, Setter>;

/** Calls the setter of each key; an unknown key throws. */
void readObject(const Json &json, const std::string &where, const Setters &setters)
{
    for (const auto &[key, value] : json.items()) {
        const auto setter = setters.find(key);
        if (setter == setters.end()) {
            std::string text = where;
            text.append(": unknown key ").append(key);
            throw std::invalid_argument(text);
        }
        setter->second(value);
    }
}

template <typename T>
Setter into(T &target)
{
    return [&target](const Json &json) { target = json.get<T>(); };
}

Setter intoMs(Duration &target)
{
    return [&target](const Json &json) { target = fromSeconds(json.get<double>() / 1000); };
}

config::StageKind kindFrom(const Json &json)
{
    const auto kind = config::stageKindFromText(json.get<std::string>());
    if (!kind) {
        throw std::invalid_argument("unknown kind " + json.get<std::string>());
    }
    return *kind;
}

PoolSettings poolFrom(const Json &json)
{
    PoolSettings pool;
    readObject(json,
               "pools",
               {
                   { "id", [&](const Json &value) { pool.id = PoolId(value.get<std::string>()); } },
                   { "kind", [&](const Json &value) { pool.kind = kindFrom(value); } },
                   { "count", into(pool.count) },
                   { "zones", into(pool.zones) },
                   { "base", into(pool.base) },
                   { "slots", into(pool.slots) },
                   { "max_waiting", into(pool.maxWaiting) },
                   { "service_ms", intoMs(pool.serviceTime) },
                   { "service_sigma", into(pool.serviceSigma) },
                   { "tokens_per_second", into(pool.tokensPerSecond) },
                   { "prefill_tokens_per_second", into(pool.prefillTokensPerSecond) },
                   { "cache_blocks", into(pool.cacheBlocks) },
                   { "cache_event_lag_ms", intoMs(pool.cacheEventLag) },
                   { "honours_fencing", into(pool.honoursFencing) },
                   { "resumable", into(pool.resumable) },
                   { "resume_ms", intoMs(pool.resumeTime) },
                   { "load_lag_ms", intoMs(pool.loadLag) },
                   { "restart_ms", intoMs(pool.restartTime) },
                   { "role_ms", intoMs(pool.roleTime) },
                   { "models", into(pool.models) },
               });
    if (pool.id.isEmpty() || pool.slots == 0 || pool.tokensPerSecond <= 0 || pool.prefillTokensPerSecond <= 0) {
        throw std::invalid_argument("pool without an id, slots or speed");
    }
    const auto base = net::parseAddress(pool.base);
    if (!base || base.value().ip.find(':') != std::string::npos) {
        throw std::invalid_argument("base isn't an IPv4 address and port: " + pool.base);
    }
    if (pool.zones.empty()) {
        pool.zones.emplace_back("zone-1");
    }
    return pool;
}

Settings settingsFrom(const Json &json)
{
    Settings settings;
    const auto readLog = [&](const Json &log) {
        readObject(log,
                   "log",
                   {
                       { "max_records", into(settings.log.maxRecords) },
                       { "keep_ms", intoMs(settings.log.keep) },
                       { "appends_per_second", into(settings.log.appendsPerSecond) },
                   });
    };
    const auto readPools = [&](const Json &pools) {
        for (const auto &pool : pools) {
            settings.pools.push_back(poolFrom(pool));
        }
    };
    readObject(json,
               "settings",
               {
                   { "address", into(settings.address) },
                   { "regions", into(settings.regions) },
                   { "vm_lag_ms", intoMs(settings.vmLag) },
                   { "vm_expiry_ms", intoMs(settings.vmExpiry) },
                   { "log", readLog },
                   { "weight_bytes_per_second", into(settings.weightBytesPerSecond) },
                   { "models", into(settings.models) },
                   { "seed", into(settings.seed) },
                   { "pools", readPools },
               });
    return settings;
}

} // namespace

Result<Settings> settingsFromJson(std::string_view text)
{
    try {
        return settingsFrom(Json::parse(text));
    } catch (const std::exception &error) {
        return failure(ErrorKind::InvalidArgument, error.what());
    }
}

} // namespace lacewing::standin

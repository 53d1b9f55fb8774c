#pragma once

#include <replay/replay.h>

#include <list>
#include <map>
#include <optional>
#include <set>

namespace lacewing::replay
{

/** Names a call within one replay. */
using CallNumber = Number<struct CallNumberTag>;

/** A call as an endpoint receives it. */
struct EndpointCall {
    CallNumber number;
    int priority = 0; ///< higher runs first
    Tokens input;
    Tokens output;
    policy::PrefixHash prefix; ///< 0: none
    Tokens prefixTokens;
    bool poison = false;
    double noise = 1; ///< factor on the call's time
};

/** A call that ended on an endpoint. */
struct EndpointResult {
    CallNumber number;
    Duration busy {};
    bool started = true;
    bool crashes = false; ///< the endpoint dies of it
    Tokens cachedInput;
};

/** A change of the prefix cache. */
struct CacheChange {
    policy::PrefixHash prefix;
    bool stored = true;
};

/** What the replay needs of an endpoint. */
class ReplayEndpoint
{
public:
    virtual ~ReplayEndpoint() = default;

    virtual void submit(const EndpointCall &call, Time now) = 0;
    /** Ends a call early; empty when it isn't there. */
    virtual std::optional<EndpointResult> cancel(CallNumber number, Time now) = 0;
    /** Calls that ended by `now`. */
    virtual std::vector<EndpointResult> advance(Time now) = 0;
    /** When advance() next has a result. */
    virtual std::optional<Time> nextResult() const = 0;
    /** Ends all calls, as a crash does. */
    virtual std::vector<EndpointResult> crash(Time now) = 0;
    virtual std::uint32_t running() const = 0;
    virtual std::uint32_t waiting() const = 0;
    /** Changes of the cache since the last call. */
    virtual std::vector<CacheChange> takeCacheChanges() = 0;
    /** Factor on the time of calls that start from now on. */
    virtual void setSlowness(double factor) = 0;
};

/** A batching endpoint: slots, a queue by priority, and a prefix cache that drops what was used least recently. */
class FakeEndpoint final : public ReplayEndpoint
{
public:
    explicit FakeEndpoint(const PoolModel &model);

    void submit(const EndpointCall &call, Time now) override;
    std::optional<EndpointResult> cancel(CallNumber number, Time now) override;
    std::vector<EndpointResult> advance(Time now) override;
    std::optional<Time> nextResult() const override;
    std::vector<EndpointResult> crash(Time now) override;
    std::uint32_t running() const override
    {
        return std::uint32_t(running_.size());
    }
    std::uint32_t waiting() const override
    {
        return std::uint32_t(queue_.size());
    }
    std::vector<CacheChange> takeCacheChanges() override;
    void setSlowness(double factor) override
    {
        slowness_ = factor;
    }

private:
    struct Running {
        EndpointCall call;
        Time started;
        Time done;
        Tokens cachedInput;
    };
    using QueueKey = std::pair<int, std::uint64_t>; ///< negative priority, order of arrival

    void fillSlots(Time now);
    void start(const EndpointCall &call, Time now);
    Tokens useCache(const EndpointCall &call);
    static EndpointResult resultOf(const Running &running, Time now);

    const PoolModel model_;
    double slowness_ = 1;
    std::uint64_t arrivals_ = 0;
    std::map<QueueKey, EndpointCall> queue_;
    std::map<CallNumber, QueueKey> queued_;
    std::map<CallNumber, Running> running_;
    std::set<std::pair<Time, CallNumber>> done_;
    std::list<policy::PrefixHash> cache_; ///< latest use first
    std::vector<CacheChange> cacheChanges_;
};

/** Slot time of a call on a pool. @param cached input tokens that need no work */
double slotSeconds(const PoolModel &model, Tokens input, Tokens cached, Tokens output);

} // namespace lacewing::replay

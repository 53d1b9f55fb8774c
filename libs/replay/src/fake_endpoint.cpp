#include "fake_endpoint.h"

#include <algorithm>

namespace lacewing::replay
{

namespace
{

/** A poison request crashes its engine after this. */
constexpr Duration poisonDelay = 500ms;

} // namespace

double slotSeconds(const PoolModel &model, Tokens input, Tokens cached, Tokens output)
{
    const auto fresh = input.value() - std::min(cached.value(), input.value());
    return model.baseSeconds + model.secondsPerInput * double(fresh) + model.secondsPerOutput * double(output.value());
}

FakeEndpoint::FakeEndpoint(const PoolModel &model)
    : model_(model)
{
}

void FakeEndpoint::submit(const EndpointCall &call, Time now)
{
    const QueueKey key { -call.priority, ++arrivals_ };
    queue_.emplace(key, call);
    queued_.emplace(call.number, key);
    fillSlots(now);
}

void FakeEndpoint::fillSlots(Time now)
{
    while (!queue_.empty() && running_.size() < model_.slots) {
        const auto call = queue_.begin()->second;
        queue_.erase(queue_.begin());
        queued_.erase(call.number);
        start(call, now);
    }
}

void FakeEndpoint::start(const EndpointCall &call, Time now)
{
    const auto cached = useCache(call);
    const double seconds = slotSeconds(model_, call.input, cached, call.output) * call.noise * slowness_;
    const bool crashes = call.poison && model_.secondsPerOutput > 0;
    const auto done = now + (crashes ? poisonDelay : fromSeconds(seconds));
    running_.emplace(call.number, Running { call, now, done, cached });
    done_.emplace(done, call.number);
}

Tokens FakeEndpoint::useCache(const EndpointCall &call)
{
    if (model_.cachedPrefixes == 0 || call.prefix.value() == 0) {
        return Tokens(0);
    }
    const auto found = std::find(cache_.begin(), cache_.end(), call.prefix);
    const bool isHit = found != cache_.end();
    if (isHit) {
        cache_.erase(found);
    } else {
        cacheChanges_.push_back({ call.prefix, true });
    }
    cache_.push_front(call.prefix);
    if (cache_.size() > model_.cachedPrefixes) {
        cacheChanges_.push_back({ cache_.back(), false });
        cache_.pop_back();
    }
    return isHit ? call.prefixTokens : Tokens(0);
}

EndpointResult FakeEndpoint::resultOf(const Running &running, Time now)
{
    const bool crashes = running.call.poison && running.done <= now;
    return { running.call.number, now - running.started, true, crashes, running.cachedInput };
}

std::optional<EndpointResult> FakeEndpoint::cancel(CallNumber number, Time now)
{
    if (const auto queued = queued_.find(number); queued != queued_.end()) {
        queue_.erase(queued->second);
        queued_.erase(queued);
        return EndpointResult { number, Duration(0), false, false, Tokens(0) };
    }
    const auto found = running_.find(number);
    if (found == running_.end()) {
        return std::nullopt;
    }
    const EndpointResult result { number, now - found->second.started, true, false, found->second.cachedInput };
    done_.erase({ found->second.done, number });
    running_.erase(found);
    fillSlots(now);
    return result;
}

std::vector<EndpointResult> FakeEndpoint::advance(Time now)
{
    std::vector<EndpointResult> results;
    while (!done_.empty() && done_.begin()->first <= now) {
        const auto [when, number] = *done_.begin();
        const auto found = running_.find(number);
        auto result = resultOf(found->second, when);
        result.crashes = result.crashes && model_.secondsPerOutput > 0;
        results.push_back(result);
        done_.erase(done_.begin());
        running_.erase(found);
        fillSlots(when);
    }
    return results;
}

std::optional<Time> FakeEndpoint::nextResult() const
{
    return done_.empty() ? std::nullopt : std::optional(done_.begin()->first);
}

std::vector<EndpointResult> FakeEndpoint::crash(Time now)
{
    std::vector<EndpointResult> results;
    for (const auto &[number, running] : running_) {
        results.push_back({ number, now - running.started, true, false, running.cachedInput });
    }
    for (const auto &[key, call] : queue_) {
        results.push_back({ call.number, Duration(0), false, false, Tokens(0) });
    }
    queue_.clear();
    queued_.clear();
    running_.clear();
    done_.clear();
    cache_.clear();
    cacheChanges_.clear();
    return results;
}

std::vector<CacheChange> FakeEndpoint::takeCacheChanges()
{
    return std::exchange(cacheChanges_, {});
}

} // namespace lacewing::replay

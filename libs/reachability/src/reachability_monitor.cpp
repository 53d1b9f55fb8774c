#include <reachability/reachability.h>

#include <algorithm>

namespace lacewing::reachability
{
namespace
{

/** Failures that are older have nothing to do with the present ones, unless the service is unreachable. */
constexpr Duration failureRetention = std::chrono::seconds(2);
/** Number of endpoints that fail in a row after which further ones are probed. */
constexpr std::size_t suspicionFailures = 2;
/** Number of endpoints that fail in a row after which a service is unreachable; all if it has fewer. A VM that reaches
 * some endpoints has to use these: VMs that each reach others would take all of them for unreachable. */
constexpr std::size_t verdictFailures = 12;
/** Endpoints that are probed first: crashes of several endpoints are more frequent than a cut. */
constexpr std::size_t firstProbes = 3;
constexpr std::size_t furtherProbes = 8;
/** Number of endpoints that must accept connections for the service to be reachable again: more than one, as a path
 * may be open to a single endpoint only. */
constexpr std::size_t recoverySuccesses = 2;
constexpr Duration unreachableProbeInterval = std::chrono::milliseconds(250);
constexpr std::size_t unreachableProbes = 2;
/** Time without a byte from any endpoint, with requests in flight, after which one endpoint is probed. */
constexpr Duration silenceTimeout = std::chrono::milliseconds(500);
/** Interval of probes for silence: slow endpoints that are few are often silent together. */
constexpr Duration silenceProbeInterval = std::chrono::seconds(1);

} // namespace

ReachabilityMonitor::ReachabilityMonitor(std::uint64_t seed)
    : random_(seed)
{
}

void ReachabilityMonitor::onConnected(const Target &target)
{
    probing_.erase(target);
    Service &service = services_[target.service];
    service.mustCheck = false;
    if (service.unreachableSince) {
        service.failures.erase(target.endpoint);
        service.successes.insert(target.endpoint);
    } else {
        service.failures.clear();
    }
}

void ReachabilityMonitor::onConnectFailed(const Target &target, Time now)
{
    probing_.erase(target);
    Service &service = services_[target.service];
    service.failures[target.endpoint] = now;
    service.successes.erase(target.endpoint);
}

void ReachabilityMonitor::onProbeAborted(const Target &target)
{
    probing_.erase(target);
}

void ReachabilityMonitor::onSent(const Target &target, Time now)
{
    if (inFlight_++ == 0) {
        silentSince_ = now;
    }
    lastSent_ = target;
}

void ReachabilityMonitor::onReceived(Time now)
{
    silentSince_ = now;
}

void ReachabilityMonitor::onEnded()
{
    inFlight_ -= inFlight_ > 0 ? 1 : 0;
}

/** Returns when the endpoints will have been silent for long enough to probe one; valid while requests are in flight.
 */
Time ReachabilityMonitor::nextSilenceProbe() const
{
    const Time due = silentSince_ + silenceTimeout;
    return silenceProbedAt_ ? std::max(due, *silenceProbedAt_ + silenceProbeInterval) : due;
}

std::optional<Time> ReachabilityMonitor::nextProbeTime() const
{
    std::optional<Time> next;
    if (inFlight_ > 0) {
        next = nextSilenceProbe();
    }
    for (const auto &[id, service] : services_) {
        if (service.unreachableSince) {
            const Time due = service.probedAt.value_or(*service.unreachableSince) + unreachableProbeInterval;
            next = std::min(next.value_or(due), due);
        }
    }
    return next;
}

/** Returns the number of probes that are due for other reasons than silence. */
std::size_t ReachabilityMonitor::dueProbes(const Service &service, std::size_t available, Time now) const
{
    if (service.unreachableSince) {
        const bool isDue = !service.probedAt || now - *service.probedAt >= unreachableProbeInterval;
        return isDue ? unreachableProbes : 0;
    }
    if (service.mustCheck) {
        return suspicionFailures;
    }
    const bool isSilent = inFlight_ > 0 && now - silentSince_ >= silenceTimeout;
    const std::size_t threshold = std::min(isSilent ? 1 : suspicionFailures, available);
    if (service.failures.empty() || service.failures.size() < threshold) {
        return 0;
    }
    return service.failures.size() < firstProbes ? firstProbes : furtherProbes;
}

std::vector<Target> ReachabilityMonitor::takeDueProbes(
    const routing::EndpointDirectory &directory,
    const std::vector<routing::ServiceId> &services,
    const std::function<bool(const routing::EndpointEntry &)> &mayProbe,
    Time now)
{
    const bool isSilenceProbeDue = inFlight_ > 0 && now >= nextSilenceProbe();
    if (isSilenceProbeDue) {
        silenceProbedAt_ = now;
    }
    std::vector<Target> probes;
    for (const auto &id : services) {
        const bool isSilent = isSilenceProbeDue && lastSent_.service == id;
        if (!isSilent && !services_.contains(id)) {
            continue;
        }
        Service &service = services_[id];
        const auto &available = directory.availableEndpoints(id);
        const auto pending = static_cast<std::size_t>(
            std::count_if(probing_.begin(), probing_.end(), [&](const auto &target) { return target.service == id; }));
        std::size_t count = std::max<std::size_t>(dueProbes(service, available.size(), now), isSilent ? 1 : 0);
        count -= std::min(count, service.unreachableSince ? 0 : pending);
        if (count == 0) {
            continue;
        }
        service.mustCheck = false;
        service.probedAt = now;
        std::vector<Target> candidates;
        for (const auto *entry : available) {
            const Target target { id, entry->id };
            const bool hasFailed = !service.unreachableSince && service.failures.contains(entry->id);
            // Another endpoint that accepts a connection shows that the silent one is slow, not out of reach.
            const bool isSilentOne = isSilent && available.size() > 1 && entry->id == lastSent_.endpoint;
            if (!hasFailed && !isSilentOne && !probing_.contains(target) && mayProbe(*entry)) {
                candidates.push_back(target);
            }
        }
        for (; count > 0 && !candidates.empty(); --count) {
            const auto chosen = candidates.begin() + static_cast<std::ptrdiff_t>(random_.below(candidates.size()));
            probing_.insert(*chosen);
            probes.push_back(*chosen);
            candidates.erase(chosen);
        }
    }
    return probes;
}

bool ReachabilityMonitor::update(const routing::EndpointDirectory &directory, Time now)
{
    bool hasChanged = false;
    bool hasNewUnreachable = false;
    for (auto &item : services_) {
        const auto &id = item.first;
        Service &service = item.second;
        const auto &available = directory.availableEndpoints(id);
        const auto isAvailable = [&](const EndpointId &endpoint) {
            return std::any_of(
                available.begin(), available.end(), [&](const auto *entry) { return entry->id == endpoint; });
        };
        std::erase_if(service.failures, [&](const auto &failure) {
            return !isAvailable(failure.first)
                || (!service.unreachableSince && now - failure.second > failureRetention);
        });
        std::erase_if(service.successes, [&](const auto &endpoint) { return !isAvailable(endpoint); });
        const bool wasUnreachable = service.unreachableSince.has_value();
        if (wasUnreachable
            && (available.empty() || service.successes.size() >= std::min(recoverySuccesses, available.size()))) {
            service = {};
        } else if (!wasUnreachable && !service.failures.empty()
                   && service.failures.size() >= std::min(verdictFailures, available.size())) {
            service.unreachableSince = service.probedAt = now;
            hasNewUnreachable = true;
        }
        hasChanged = hasChanged || wasUnreachable != service.unreachableSince.has_value();
    }
    if (hasNewUnreachable) {
        for (auto &[id, service] : services_) {
            service.mustCheck = service.mustCheck || !service.unreachableSince;
        }
    }
    return hasChanged;
}

bool ReachabilityMonitor::isUnreachable(const routing::ServiceId &service) const
{
    const auto found = services_.find(service);
    return found != services_.end() && found->second.unreachableSince;
}

std::vector<routing::ServiceId> ReachabilityMonitor::unreachableServices() const
{
    std::vector<routing::ServiceId> unreachable;
    for (const auto &[id, service] : services_) {
        if (service.unreachableSince) {
            unreachable.push_back(id);
        }
    }
    return unreachable;
}

bool ReachabilityMonitor::hasFailed(const Target &target) const
{
    const auto found = services_.find(target.service);
    return found != services_.end() && found->second.failures.contains(target.endpoint);
}

} // namespace lacewing::reachability

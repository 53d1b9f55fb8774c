#include "fleet_state.h"

#include <algorithm>

/** The part of FleetState that knows the software versions of endpoints. */
namespace lacewing::gateway
{

/** Takes over versions that have served before this VM started. */
void FleetState::applySoftwareVersions(std::string_view service, const std::string &value)
{
    const routing::ServiceId id { std::string(service) };
    std::set<routing::SoftwareVersion> &stored = storedVersions_[id];
    stored.clear();
    for (std::string_view rest = value; !rest.empty();) {
        const auto end = std::min(rest.find('\n'), rest.size());
        stored.emplace(std::string(rest.substr(0, end)));
        rest.remove_prefix(std::min(end + 1, rest.size()));
    }
    if (!areVmsLoaded_) {
        for (const auto &version : stored) {
            endpoints_.addEndedVersion(id, version, context_.now());
        }
    }
}

/** Stores the versions of services that have several, so that VMs that start later know of those that have ended. */
void FleetState::storeSoftwareVersions()
{
    if (!isLoaded() || !areVmsLoaded_ || !isViewCurrent() || !links_.isResponsible("software versions", 1)) {
        return;
    }
    for (const auto &service : routes_->state().services) {
        auto versions = endpoints_.versions(service->id);
        if (versions.size() < 2) {
            versions.clear();
        }
        auto &stored = storedVersions_[service->id];
        if (versions == stored) {
            continue;
        }
        stored = versions;
        const std::string key = std::string(softwareVersionsKeyPrefix) + service->id.text();
        std::string value;
        for (const auto &version : versions) {
            value += (value.empty() ? "" : "\n") + version.text();
        }
        context_.logger.state("software versions stored",
                              { { "service", service->id }, { "versions", versions.size() } });
        if (versions.empty()) {
            store_.remove(key, [] {});
        } else {
            store_.put(key, value);
        }
    }
}

/** Returns whether the endpoint registrations that this VM knows are those of the store, but for some ms. */
bool FleetState::isViewCurrent() const
{
    const auto found = replicas_.find(userplatform::Topic::Endpoints);
    const bool isStoreLost = found == replicas_.end() || found->second.isStoreLost;
    return endpointsLoaded_ && (readsStore_ ? !isStoreLost : hasActiveReader());
}

std::optional<routing::SoftwareVersion> FleetState::soleVersion(const routing::ServiceId &service) const
{
    return areVmsLoaded_ && isViewCurrent() ? endpoints_.soleVersion(service) : std::nullopt;
}

} // namespace lacewing::gateway

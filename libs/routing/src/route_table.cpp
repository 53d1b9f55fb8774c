#include <routing/routing.h>

#include <algorithm>

namespace lacewing::routing
{
namespace
{

std::string lowerCase(std::string_view text)
{
    std::string result(text);
    std::transform(result.begin(), result.end(), result.begin(), [](char c) {
        return c >= 'A' && c <= 'Z' ? char(c - 'A' + 'a') : c;
    });
    return result;
}

std::string_view stripPort(std::string_view host) noexcept
{
    return host.substr(0, host.rfind(':'));
}

std::string_view stripQuery(std::string_view target) noexcept
{
    return target.substr(0, target.find('?'));
}

} // namespace

RouteTable::RouteTable(DesiredState state)
    : state_(std::move(state))
{
    for (const auto &route : state_.routes) {
        routesByHost_[lowerCase(route->host)].push_back(&*route);
    }
    for (auto &[host, routes] : routesByHost_) {
        std::stable_sort(routes.begin(), routes.end(), [](const Route *a, const Route *b) {
            return a->pathPrefix.size() > b->pathPrefix.size();
        });
    }
    for (const auto &holder : state_.keyHolders) {
        for (const auto &key : holder->keys) {
            holdersByKey_.emplace(key, &*holder);
        }
    }
    for (const auto &service : state_.services) {
        servicesById_.emplace(service->id.text(), &*service);
    }
}

const Route *RouteTable::findRoute(std::string_view host, std::string_view target) const
{
    const auto found = routesByHost_.find(routedHost(host));
    if (found == routesByHost_.end()) {
        return nullptr;
    }
    const auto path = stripQuery(target);
    const auto &routes = found->second;
    const auto match = std::find_if(
        routes.begin(), routes.end(), [&](const Route *route) { return path.starts_with(route->pathPrefix); });
    return match == routes.end() ? nullptr : *match;
}

std::string RouteTable::routedHost(std::string_view host) const
{
    std::string result = lowerCase(host);
    return routesByHost_.contains(result) ? result : lowerCase(stripPort(host));
}

const KeyHolder *RouteTable::findKeyHolder(std::string_view key) const
{
    const auto found = holdersByKey_.find(key);
    return found == holdersByKey_.end() ? nullptr : found->second;
}

const Service *RouteTable::findService(const ServiceId &id) const
{
    const auto found = servicesById_.find(id.text());
    return found == servicesById_.end() ? nullptr : found->second;
}

const ColdStart *RouteTable::findColdStart(const ServiceId &id) const
{
    if (!state_.coldStarts) {
        return nullptr;
    }
    const auto found = std::find_if(
        state_.coldStarts->begin(), state_.coldStarts->end(), [&](const auto &start) { return start.service == id; });
    return found == state_.coldStarts->end() ? nullptr : &*found;
}

} // namespace lacewing::routing

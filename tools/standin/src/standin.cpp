#include "standin.h"

#include <array>
#include <cstdio>

#include <nlohmann/json.hpp>

namespace lacewing::standin
{
namespace
{

using Json = nlohmann::json;

constexpr Duration listPeriod = std::chrono::milliseconds(20);
constexpr std::size_t maxConnections = 16'384;
constexpr unsigned octetValues = 256;

/** The address that lies `steps` IP numbers after an IPv4 address. */
std::string addressAfter(const std::string &base, std::size_t steps)
{
    auto address = net::parseAddress(base).value();
    std::array<unsigned, 4> octets {};
    std::sscanf(address.ip.c_str(), "%u.%u.%u.%u", &octets[0], &octets[1], &octets[2], &octets[3]);
    std::size_t carry = steps;
    for (std::size_t i = octets.size(); i-- > 1 && carry > 0;) {
        const std::size_t sum = octets[i] + carry;
        octets[i] = static_cast<unsigned>(sum % octetValues);
        carry = sum / octetValues;
    }
    std::array<char, 16> ip {};
    std::snprintf(ip.data(), ip.size(), "%u.%u.%u.%u", octets[0], octets[1], octets[2], octets[3]);
    address.ip = ip.data();
    return net::toText(address);
}

std::string hexOf(Incarnation incarnation)
{
    std::array<char, 17> text {};
    std::snprintf(text.data(), text.size(), "%llx", static_cast<unsigned long long>(incarnation.value()));
    return text.data();
}

/** A JSON value as text, so that a fault's value may be written as a number or a string. */
std::string textOf(const Json &json)
{
    return json.is_string() ? json.get<std::string>() : json.dump();
}

Fault faultFrom(const std::string &body, Time now)
{
    const Json json = Json::parse(body);
    const auto kind = faultKindFromText(json.at("fault").get<std::string>());
    if (!kind) {
        throw std::invalid_argument("unknown fault");
    }
    Fault fault;
    fault.target = json.at("target").get<std::string>();
    fault.kind = *kind;
    fault.value = json.contains("value") ? textOf(json["value"]) : std::string();
    fault.mode = json.value("mode", std::string("blackhole"));
    fault.since = now;
    if (json.contains("for_ms")) {
        fault.until = now + std::chrono::milliseconds(json["for_ms"].get<std::int64_t>());
    }
    if (fault.kind == FaultKind::Partition && fault.value.starts_with("zone:")) {
        fault.value.erase(0, std::string_view("zone:").size());
    }
    return fault;
}

} // namespace

Standin::Standin(net::EventLoop &loop, Settings settings)
    : loop_(loop)
    , settings_(std::move(settings))
    , random_(settings_.seed ^ static_cast<std::uint64_t>(loop.clock().wallNow().time_since_epoch().count()))
    , faults_(loop.clock())
    , weights_(settings_.weightBytesPerSecond, settings_.models)
    , platform_(loop, faults_, settings_, weights_)
    , server_(loop,
              net::HttpServerOptions().maxConnections(maxConnections),
              [this](net::HttpRequest request, net::ResponseWriter writer) {
                  serve(std::move(request), std::move(writer));
              })
{
    const HostContext context { loop_, faults_, executions_, weights_, random_ };
    for (const auto &pool : settings_.pools) {
        for (std::size_t i = 0; i < pool.count; ++i) {
            const std::string id = pool.id.text() + "-" + std::to_string(i);
            const std::string &zone = pool.zones[i % pool.zones.size()];
            endpoints_.push_back(std::make_unique<EndpointHost>(context, pool, id, zone, addressAfter(pool.base, i)));
        }
    }
}

Standin::~Standin()
{
    loop_.timers().cancel(listTimer_);
}

Result<void> Standin::start()
{
    for (const auto &endpoint : endpoints_) {
        auto started = endpoint->start();
        if (!started) {
            return started;
        }
    }
    listEndpoints();
    listTimer_ = loop_.timers().every(loop_.clock().now() + listPeriod, listPeriod, [this](Time) { listEndpoints(); });
    const auto address = net::parseAddress(settings_.address);
    if (!address) {
        return boost::outcome_v2::failure(address.error());
    }
    return server_.listen(address.value());
}

std::string Standin::address() const
{
    return net::toText(server_.address());
}

/** Brings the list of VMs up to date; a crashed endpoint stays on it as it was. */
void Standin::listEndpoints()
{
    const Time now = loop_.clock().now();
    for (const auto &endpoint : endpoints_) {
        if (endpoint->incarnation().value() == 0) {
            continue;
        }
        const auto region = settings_.regions.find(endpoint->zone());
        platform_.vms().put({ endpoint->id(),
                              "endpoint",
                              endpoint->settings().id.text(),
                              endpoint->zone(),
                              region == settings_.regions.end() ? "region-1" : region->second,
                              endpoint->address(),
                              hexOf(endpoint->incarnation()),
                              endpoint->isLeaving() ? "leaving" : "live" },
                            now);
    }
}

void Standin::serve(net::HttpRequest request, net::ResponseWriter writer)
{
    if (request.path().starts_with("/control/")) {
        serveControl(request, std::move(writer));
    } else {
        platform_.serve(std::move(request), std::move(writer));
    }
}

void Standin::serveControl(const net::HttpRequest &request, net::ResponseWriter writer)
{
    const auto path = request.path();
    const std::string &method = request.method;
    if (path == "/control/fault" && method == "POST") {
        addFault(request, std::move(writer));
    } else if (path == "/control/fault" && method == "DELETE") {
        faults_.remove(request.query("target").value_or(""));
        writer.respond(net::status::ok, {}, "");
    } else if (path == "/control/fault") {
        writer.respond(net::status::ok, {}, faultsJson());
    } else if (path == "/control/leave" && method == "POST") {
        leave(request, std::move(writer));
    } else if (path == "/control/executions" && method == "DELETE") {
        executions_.clear();
        writer.respond(net::status::ok, {}, "");
    } else if (path == "/control/executions") {
        writer.respond(net::status::ok, {}, executionsJson());
    } else if (path == "/control/endpoints") {
        writer.respond(net::status::ok, {}, endpointsJson());
    } else if (path == "/control/platform") {
        writer.respond(net::status::ok, {}, platformJson());
    } else {
        writer.respond(net::status::notFound, {}, "");
    }
}

void Standin::addFault(const net::HttpRequest &request, net::ResponseWriter writer)
{
    Fault fault;
    try {
        fault = faultFrom(request.body.text(), loop_.clock().now());
    } catch (const std::exception &error) {
        writer.respond(net::status::badRequest, {}, error.what());
        return;
    }
    if (fault.kind == FaultKind::Crash) {
        crash(fault);
    } else {
        faults_.add(std::move(fault));
    }
    writer.respond(net::status::ok, {}, "");
}

void Standin::crash(const Fault &fault)
{
    for (const auto &endpoint : endpoints_) {
        const auto &pool = endpoint->settings();
        const bool meant = fault.target == "*" || fault.target == endpoint->id() || fault.target == pool.id.text()
            || fault.target == "zone:" + endpoint->zone();
        if (meant) {
            endpoint->crash(fromSeconds(fault.number(toSeconds(pool.restartTime) * 1000) / 1000));
        }
    }
}

void Standin::leave(const net::HttpRequest &request, net::ResponseWriter writer)
{
    const Json json = Json::parse(request.body, nullptr, false);
    const std::string id = json.is_object() ? json.value("endpoint", std::string()) : std::string();
    for (const auto &endpoint : endpoints_) {
        if (endpoint->id() == id) {
            endpoint->leave();
            writer.respond(net::status::ok, {}, "");
            return;
        }
    }
    writer.respond(net::status::notFound, {}, "no such endpoint");
}

std::string Standin::faultsJson()
{
    Json faults = Json::array();
    for (const auto &fault : faults_.all()) {
        faults.push_back({ { "target", fault.target }, { "fault", toText(fault.kind) }, { "value", fault.value } });
    }
    return Json::object({ { "faults", std::move(faults) } }).dump();
}

std::string Standin::executionsJson() const
{
    Json executions = Json::array();
    for (const auto &[key, count] : executions_.counts()) {
        executions.push_back({ { "stage", key.first }, { "input", key.second }, { "count", count } });
    }
    const Json json = Json::object({ { "executions", std::move(executions) } });
    return json.dump(-1, ' ', false, Json::error_handler_t::replace);
}

std::string Standin::endpointsJson() const
{
    Json endpoints = Json::array();
    for (const auto &endpoint : endpoints_) {
        endpoints.push_back({
            { "id", endpoint->id() },
            { "pool", endpoint->settings().id.text() },
            { "zone", endpoint->zone() },
            { "address", endpoint->address() },
            { "incarnation", hexOf(endpoint->incarnation()) },
            { "calls", endpoint->calls() },
            { "crashes", endpoint->crashes() },
            { "leaving", endpoint->isLeaving() },
            { "calls_after_leave", endpoint->callsAfterLeave() },
            { "last_call_after_leave_ms", toMilliseconds(endpoint->lastCallAfterLeave()) },
        });
    }
    return Json::object({ { "endpoints", std::move(endpoints) } }).dump();
}

std::string Standin::platformJson() const
{
    const Json json = {
        { "appends", platform_.log().appends() },
        { "refused_appends", platform_.log().refusedAppends() },
        { "weight_fetches", weights_.fetches() },
    };
    return json.dump();
}

} // namespace lacewing::standin

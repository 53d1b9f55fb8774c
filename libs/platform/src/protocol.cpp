#include "protocol.h"

#include <charconv>

#include <nlohmann/json.hpp>

namespace lacewing::platform
{
namespace
{

using Json = nlohmann::json;

constexpr int hexadecimal = 16;
constexpr int statusClass = 100;
constexpr int successClass = 2;
constexpr int callerErrorClass = 4;

WallTime wallTimeFromMs(std::int64_t milliseconds)
{
    return WallTime(std::chrono::milliseconds(milliseconds));
}

std::string toHex(std::uint64_t value)
{
    constexpr std::size_t maxDigits = 16;
    std::string text(maxDigits, '\0');
    const auto written = std::to_chars(text.data(), text.data() + text.size(), value, hexadecimal);
    text.resize(static_cast<std::size_t>(written.ptr - text.data()));
    return text;
}

Result<std::uint64_t> fromHex(std::string_view text)
{
    std::uint64_t value = 0;
    const auto *end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data(), end, value, hexadecimal);
    if (text.empty() || parsed.ec != std::errc() || parsed.ptr != end) {
        return failure(ErrorKind::Malformed, "not a hexadecimal number");
    }
    return value;
}

/** Decodes a JSON body; a wrong shape is Malformed. */
template <typename T, typename Decode>
Result<T> decodeBody(const std::string &body, Decode decode)
{
    try {
        return decode(Json::parse(body));
    } catch (const Json::exception &error) {
        return failure(ErrorKind::Malformed, error.what());
    }
}

Result<log::Record> recordFrom(const Json &json)
{
    auto data = net::fromBase64(json.at("data").get_ref<const std::string &>());
    if (!data) {
        return boost::outcome_v2::failure(data.error());
    }
    return log::Record { LogOffset(json.at("offset").get<std::uint64_t>()),
                         std::move(data).value(),
                         wallTimeFromMs(json.at("at_ms").get<std::int64_t>()) };
}

Result<log::ReadAnswer> readFrom(const Json &json)
{
    log::ReadAnswer answer;
    answer.ok = true;
    answer.firstRetained = LogOffset(json.at("first").get<std::uint64_t>());
    answer.next = LogOffset(json.at("next").get<std::uint64_t>());
    for (const auto &item : json.at("records")) {
        auto record = recordFrom(item);
        if (!record) {
            return boost::outcome_v2::failure(record.error());
        }
        if (!answer.records.empty() && record.value().offset.value() <= answer.records.back().offset.value()) {
            return failure(ErrorKind::Malformed, "records out of order");
        }
        answer.records.push_back(std::move(record).value());
    }
    return answer;
}

Result<PlatformVm> vmFrom(const Json &json)
{
    const auto text = [&](const char *name) { return json.value(name, std::string()); };
    const std::string kind = text("kind");
    const std::string state = text("state");
    const bool known = (kind == "entry" || kind == "endpoint") && (state == "live" || state == "leaving");
    if (!known || text("id").empty()) {
        return failure(ErrorKind::Malformed, "VM without an id, or of an unknown kind or state");
    }
    auto incarnation = fromHex(text("incarnation"));
    if (!incarnation) {
        return boost::outcome_v2::failure(incarnation.error());
    }
    PlatformVm vm;
    vm.id = text("id");
    vm.kind = kind == "entry" ? VmKind::Entry : VmKind::Endpoint;
    vm.pool = PoolId(text("pool"));
    vm.zone = AvailabilityZoneId(text("zone"));
    vm.region = RegionId(text("region"));
    vm.address = text("address");
    vm.incarnation = Incarnation(incarnation.value());
    vm.state = state == "live" ? VmState::Live : VmState::Leaving;
    return vm;
}

Result<VmList> listFrom(const Json &json)
{
    VmList list;
    list.asOf = wallTimeFromMs(json.at("as_of_ms").get<std::int64_t>());
    for (const auto &item : json.at("vms")) {
        auto vm = vmFrom(item);
        if (!vm) {
            return boost::outcome_v2::failure(vm.error());
        }
        list.vms.push_back(std::move(vm).value());
    }
    return list;
}

log::AppendOutcome declinedOrUnknown(int status) noexcept
{
    const bool declined = status / statusClass == callerErrorClass || status == net::status::unavailable;
    return declined ? log::AppendOutcome::NotDone : log::AppendOutcome::Unknown;
}

} // namespace

std::string streamPath(const log::StreamId &stream)
{
    return "/log/" + net::percentEncode(stream.text());
}

std::string readTarget(const log::Read &request, std::size_t maxRecords)
{
    return streamPath(request.stream) + "?from=" + std::to_string(request.from.value())
        + "&max=" + std::to_string(maxRecords) + "&wait_ms=" + std::to_string(toMilliseconds(request.wait));
}

std::string appendBody(const log::Append &request)
{
    Json records = Json::array();
    for (const auto &record : request.records) {
        records.push_back(net::toBase64(record));
    }
    return Json::object({ { "records", std::move(records) } }).dump();
}

std::string vmBody(const PlatformVm &vm)
{
    const Json json = {
        { "id", vm.id },
        { "kind", vm.kind == VmKind::Entry ? "entry" : "endpoint" },
        { "pool", vm.pool.text() },
        { "zone", vm.zone.text() },
        { "region", vm.region.text() },
        { "address", vm.address },
        { "incarnation", toHex(vm.incarnation.value()) },
        { "state", vm.state == VmState::Live ? "live" : "leaving" },
    };
    return json.dump(-1, ' ', false, Json::error_handler_t::replace);
}

log::AppendAnswer appendAnswerFrom(const net::HttpEnd &end, const net::HttpResponse &response, std::size_t records)
{
    log::AppendAnswer answer;
    if (end.error && !end.requestWritten) {
        answer.outcome = log::AppendOutcome::NotDone;
        return answer;
    }
    // A status that declines is final even when the rest of the response was lost.
    if (end.headReceived && response.head.status != net::status::ok) {
        answer.outcome = declinedOrUnknown(response.head.status);
        return answer;
    }
    if (end.error) {
        return answer;
    }
    const auto offsets = decodeBody<std::vector<std::uint64_t>>(response.body, [](const Json &json) {
        return Result<std::vector<std::uint64_t>>(json.at("offsets").get<std::vector<std::uint64_t>>());
    });
    if (offsets && offsets.value().size() == records) {
        answer.outcome = log::AppendOutcome::Done;
        for (const auto offset : offsets.value()) {
            answer.offsets.emplace_back(offset);
        }
    }
    return answer;
}

log::ReadAnswer readAnswerFrom(const net::HttpEnd &end, const net::HttpResponse &response)
{
    if (end.error || response.head.status != net::status::ok) {
        return {};
    }
    auto answer = decodeBody<log::ReadAnswer>(response.body, readFrom);
    return answer ? std::move(answer).value() : log::ReadAnswer();
}

Result<void> checkOk(const net::HttpEnd &end, const net::HttpResponse &response)
{
    if (end.error) {
        return boost::outcome_v2::failure(*end.error);
    }
    if (response.head.status / statusClass == successClass) {
        return success();
    }
    const bool later = response.head.status == net::status::unavailable;
    return failure(later ? ErrorKind::Unavailable : ErrorKind::Refused,
                   "status " + std::to_string(response.head.status));
}

Result<VmList> vmsFrom(const net::HttpEnd &end, const net::HttpResponse &response)
{
    const auto checked = checkOk(end, response);
    if (!checked) {
        return boost::outcome_v2::failure(checked.error());
    }
    return decodeBody<VmList>(response.body, listFrom);
}

} // namespace lacewing::platform

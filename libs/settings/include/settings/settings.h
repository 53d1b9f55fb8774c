#pragma once

#include <base/base.h>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

/**
 * One VM's own settings: its name, addresses, bounds and keys. Parses and checks TOML text; reading the file is up to
 * the program. docs/SETTINGS.md is the page for operators.
 *
 * Addresses are written "ip:port", such as "10.0.0.4:7000" or "[fd00::4]:7000"; host names are not looked up.
 */
namespace lacewing::settings
{

/** Section [vm]: who and where this VM is. */
struct VmSettings {
    VmId name; ///< unique in the fleet; 1 to 100 characters
    AvailabilityZoneId zone; ///< 1 to 100 characters
    RegionId region; ///< 1 to 100 characters
};

/** Section [listen]: the addresses this VM listens on. Port 0 lets the kernel choose. */
struct ListenSettings {
    std::string publicHttp; ///< key "public": callers' HTTP interface
    std::string operators; ///< operators' HTTP interface
    std::string peer; ///< other VMs of the fleet
    std::string peerAdvertised; ///< address other VMs use to reach `peer`; default: `peer`
};

/** Section [operators]: how operators prove who they are. Exactly one of the two is set. */
struct OperatorSettings {
    std::string token; ///< bearer token; at least 8 characters
    std::string tokenFile; ///< path of a file that holds the token
};

/** Section [platform]: the platform's service. */
struct PlatformSettings {
    std::string address; ///< log, VM list and weight store
    Duration requestTimeout = std::chrono::seconds(2); ///< key "request_timeout_ms", 10 to 60,000
};

/** Section [bounds]: what this VM takes on at most. */
struct BoundSettings {
    Bytes header { 16'384 }; ///< key "header_bytes": head of a request, 1,024 to 1,048,576
    Bytes body { 8'388'608 }; ///< key "body_bytes": body of a request, 1,024 to 1,073,741,824
    std::size_t connections = 10'000; ///< open public connections, 1 to 1,000,000
    std::size_t streams = 1'000; ///< streams on one peer connection, 1 to 100,000
    std::size_t queue = 10'000; ///< messages waiting for one peer, 1 to 1,000,000
    std::size_t jobs = 10'000; ///< jobs admitted and not finished, 1 to 1,000,000
};

/** Section [traffic]: the threads that carry jobs. */
struct TrafficSettings {
    std::size_t threads = 2; ///< 1 to 64
};

/** Least important level that is logged. */
enum class LogLevel : std::uint8_t { Debug, Info, Warn, Error };
/** Form of a log line. */
enum class LogFormat : std::uint8_t { Json, Text };

/** Stands for standard output where the path of a file is expected. */
constexpr const char *standardOutput = "-";

/** Section [log]: lines about changes of state. */
struct LogSettings {
    LogLevel level = LogLevel::Info; ///< "debug", "info", "warn" or "error"
    LogFormat format = LogFormat::Json; ///< "json" or "text"
    std::string file; ///< path; empty: standard error; standardOutput: standard output
};

/** Section [tls]: keys for the links between VMs. Paths are read again when the daemon is told to reload. */
struct TlsSettings {
    bool enabled = true; ///< false: links between VMs are plain TCP
    std::string ca; ///< PEM file with the fleet's own CA; required when enabled
    std::string certificate; ///< PEM file with this VM's certificate chain; required when enabled
    std::string key; ///< PEM file with this VM's private key; required when enabled
};

/** Section [peer]: liveness of the links between VMs. */
struct PeerSettings {
    Duration pingAfter = std::chrono::seconds(1); ///< key "ping_after_ms": silence before a PING, 10 to 60,000
    Duration pingDeadline = std::chrono::seconds(1); ///< key "ping_deadline_ms": wait for its answer, 10 to 60,000
    std::vector<std::string> seeds; ///< addresses tried before the platform's VM list is known; at most 64
};

/** Section [claims]: requests with an idempotency key. */
struct ClaimSettings {
    Duration window = std::chrono::hours(1); ///< key "window_s": age up to which a key is judged, 60 to 86,400
    Duration batch = std::chrono::milliseconds(5); ///< key "batch_ms": wait to group claims, 0 to 1,000
};

/** Section [stop]: a graceful stop. */
struct StopSettings {
    Duration notice = std::chrono::seconds(5); ///< key "notice_s": the balancer's time to notice, 0 to 600
    Duration limit = std::chrono::minutes(10); ///< key "limit_s": after this, what still runs is cut, 1 to 86,400
};

/** All settings of one VM. */
struct Settings {
    VmSettings vm;
    ListenSettings listen;
    OperatorSettings operators;
    PlatformSettings platform;
    BoundSettings bounds;
    TrafficSettings traffic;
    LogSettings log;
    TlsSettings tls;
    PeerSettings peer;
    ClaimSettings claims;
    StopSettings stop;
    std::optional<std::uint64_t> seed; ///< key "test.seed": fixes the random numbers, for tests; 0 to 2^63 - 1
};

/**
 * Reads settings from TOML text.
 *
 * Errors, each with "file:line: key: reason" as its detail: Malformed (not TOML), UnknownKey, WrongType, OutOfRange,
 * InvalidArgument (a text of the wrong form) and Missing.
 *
 * @param fileName appears in errors; nothing is read from it
 */
Result<Settings> parse(std::string_view toml, std::string_view fileName);

/** Reads a file whole. Fails with Io. */
Result<std::string> readFile(const std::string &path);

/** A seed that differs from process to process. */
std::uint64_t randomSeed();

/** Every key that parse() knows, such as "vm.name", in the order of the page for operators. */
std::vector<std::string> knownKeys();

} // namespace lacewing::settings

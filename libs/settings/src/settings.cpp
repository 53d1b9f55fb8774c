#include <settings/settings.h>

#include "reader.h"

#include <sstream>

namespace lacewing::settings
{

namespace
{

constexpr Range millisecondRange { 10, 60'000 };
constexpr Range connectionRange { 1, 1'000'000 };
constexpr Range streamRange { 1, 100'000 };
constexpr Range headerRange { 1'024, 1'048'576 };
constexpr Range bodyRange { 1'024, 1'073'741'824 };
constexpr Range threadRange { 1, 64 };
constexpr Range claimWindowRange { 60, 86'400 };
constexpr Range claimBatchRange { 0, 1'000 };
constexpr Range stopNoticeRange { 0, 600 };
constexpr Range stopLimitRange { 1, 86'400 };
constexpr std::size_t maxSeeds = 64;
constexpr std::size_t minTokenLength = 8;

/** Reads a name into an identifier. */
template <typename Tag>
void readName(Reader &reader, const std::string &key, Name<Tag> &target)
{
    std::string text;
    reader.name(key, text);
    reader.require(key);
    target = Name<Tag>(text);
}

void readBytes(Reader &reader, const std::string &key, Range range, Bytes &target)
{
    auto bytes = static_cast<std::int64_t>(target.value());
    reader.number(key, range, bytes);
    target = Bytes(static_cast<std::uint64_t>(bytes));
}

void readVm(Reader &reader, VmSettings &vm)
{
    readName(reader, "vm.name", vm.name);
    readName(reader, "vm.zone", vm.zone);
    readName(reader, "vm.region", vm.region);
}

void readListen(Reader &reader, ListenSettings &listen)
{
    reader.address("listen.public", listen.publicHttp);
    reader.require("listen.public");
    reader.address("listen.operators", listen.operators);
    reader.require("listen.operators");
    reader.address("listen.peer", listen.peer);
    reader.require("listen.peer");
    listen.peerAdvertised = listen.peer;
    reader.address("listen.peer_advertised", listen.peerAdvertised);
}

void readOperators(Reader &reader, OperatorSettings &operators)
{
    reader.text("operators.token", operators.token);
    reader.text("operators.token_file", operators.tokenFile);
    if (reader.has("operators.token") && operators.token.size() < minTokenLength) {
        reader.fail("operators.token", ErrorKind::OutOfRange, "at least 8 characters expected");
    }
    if (reader.has("operators.token_file") && operators.tokenFile.empty()) {
        reader.fail("operators.token_file", ErrorKind::OutOfRange, "path expected");
    }
    if (!reader.has("operators.token") && !reader.has("operators.token_file")) {
        reader.fail("operators.token", ErrorKind::Missing, "token or token_file is required");
    }
    if (reader.has("operators.token") && reader.has("operators.token_file")) {
        reader.fail("operators.token_file", ErrorKind::InvalidArgument, "only one of token and token_file may be set");
    }
}

void readPlatform(Reader &reader, PlatformSettings &platform)
{
    reader.address("platform.address", platform.address);
    reader.require("platform.address");
    reader.duration("platform.request_timeout_ms", 1ms, millisecondRange, platform.requestTimeout);
}

void readBounds(Reader &reader, BoundSettings &bounds)
{
    readBytes(reader, "bounds.header_bytes", headerRange, bounds.header);
    readBytes(reader, "bounds.body_bytes", bodyRange, bounds.body);
    reader.count("bounds.connections", connectionRange, bounds.connections);
    reader.count("bounds.streams", streamRange, bounds.streams);
    reader.count("bounds.queue", connectionRange, bounds.queue);
    reader.count("bounds.jobs", connectionRange, bounds.jobs);
}

void readLog(Reader &reader, LogSettings &log)
{
    static const std::map<std::string, LogLevel> levels { { "debug", LogLevel::Debug },
                                                          { "info", LogLevel::Info },
                                                          { "warn", LogLevel::Warn },
                                                          { "error", LogLevel::Error } };
    static const std::map<std::string, LogFormat> formats { { "json", LogFormat::Json }, { "text", LogFormat::Text } };
    reader.choice("log.level", levels, log.level);
    reader.choice("log.format", formats, log.format);
    reader.text("log.file", log.file);
}

void readTls(Reader &reader, TlsSettings &tls)
{
    reader.flag("tls.enabled", tls.enabled);
    reader.text("tls.ca", tls.ca);
    reader.text("tls.certificate", tls.certificate);
    reader.text("tls.key", tls.key);
    for (const char *key : { "tls.ca", "tls.certificate", "tls.key" }) {
        if (tls.enabled) {
            reader.require(key);
        }
    }
}

void readPeer(Reader &reader, PeerSettings &peer)
{
    reader.duration("peer.ping_after_ms", 1ms, millisecondRange, peer.pingAfter);
    reader.duration("peer.ping_deadline_ms", 1ms, millisecondRange, peer.pingDeadline);
    reader.addresses("peer.seeds", peer.seeds, maxSeeds);
}

void readSeed(Reader &reader, std::optional<std::uint64_t> &seed)
{
    std::int64_t number = 0;
    reader.number("test.seed", Range {}, number);
    if (reader.has("test.seed")) {
        seed = static_cast<std::uint64_t>(number);
    }
}

Settings readAll(Reader &reader)
{
    Settings settings;
    readVm(reader, settings.vm);
    readListen(reader, settings.listen);
    readOperators(reader, settings.operators);
    readPlatform(reader, settings.platform);
    readBounds(reader, settings.bounds);
    reader.count("traffic.threads", threadRange, settings.traffic.threads);
    readLog(reader, settings.log);
    readTls(reader, settings.tls);
    readPeer(reader, settings.peer);
    reader.duration("claims.window_s", 1s, claimWindowRange, settings.claims.window);
    reader.duration("claims.batch_ms", 1ms, claimBatchRange, settings.claims.batch);
    reader.duration("stop.notice_s", 1s, stopNoticeRange, settings.stop.notice);
    reader.duration("stop.limit_s", 1s, stopLimitRange, settings.stop.limit);
    readSeed(reader, settings.seed);
    reader.refuseUnknownKeys();
    return settings;
}

std::string describe(const toml::parse_error &error, std::string_view fileName)
{
    std::ostringstream text;
    text << fileName << ':' << error.source().begin.line << ": " << error.description();
    return text.str();
}

} // namespace

Result<Settings> parse(std::string_view toml, std::string_view fileName)
{
    toml::table document;
    try {
        document = toml::parse(toml);
    } catch (const toml::parse_error &error) {
        return failure(ErrorKind::Malformed, describe(error, fileName));
    }
    Reader reader(document, fileName);
    auto settings = readAll(reader);
    if (reader.error()) {
        return boost::outcome_v2::failure(*reader.error());
    }
    return settings;
}

std::vector<std::string> knownKeys()
{
    const toml::table nothing;
    Reader reader(nothing, "");
    readAll(reader);
    return reader.askedKeys();
}

} // namespace lacewing::settings

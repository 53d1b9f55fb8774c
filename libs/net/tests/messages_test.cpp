#include <net/net.h>

#include <criterion/criterion.h>
#include <criterion/parameterized.h>

using namespace lacewing;
using namespace lacewing::net;

namespace
{

struct AddressCase {
    char text[40];
    bool valid;
};

AddressCase addressCases[] = {
    { "127.0.0.1:80", true },    { "[::1]:8080", true },       { "127.0.0.1", false }, { "127.0.0.1:", false },
    { "localhost:80", false },   { "127.0.0.1:70000", false }, { ":80", false },       { "127.0.0.1:8x", false },
    { "[127.0.0.1]:80", false }, { "::1:80", false },
};

struct Base64Case {
    char text[24];
    bool valid;
};

Base64Case base64Cases[] = {
    { "", true },      { "YQ==", true },  { "YWI=", true },  { "YWJj", true },   { "YQ=", false },  { "YQ", false },
    { "Y===", false }, { "Y=Jj", false }, { "YW-j", false }, { "YWJ\n", false }, { "====", false }, { " YWJj", false },
};

struct BoundaryCase {
    char text[40];
    bool isInsideEvent; ///< after the text
};

BoundaryCase boundaryCases[] = {
    { "", false },
    { "data: 1\n\n", false },
    { "data: 1\r\n\r\n", false },
    { "data: 1\r\r", false },
    { "data: 1\n\n\n", false },
    { ": comment\n", false },
    { ": comm", false },
    { "data: 1\n\n: comm", false },
    { "d", true },
    { "data: 1", true },
    { "data: 1\n", true },
    { "data: 1\r\n", true },
    { "data: 1\r", true },
    { "id: 7\ndata: 1\n: comment\n", true },
    { "data: 1\n\nid: 2", true },
};

} // namespace

ParameterizedTestParameters(messages, sseStreamEndsInsideOrBetweenEvents)
{
    return cr_make_param_array(BoundaryCase, boundaryCases, std::size(boundaryCases));
}

ParameterizedTest(BoundaryCase *param, messages, sseStreamEndsInsideOrBetweenEvents)
{
    SseBoundary boundary;
    boundary.feed(param->text);
    cr_assert_eq(boundary.isInsideEvent(), param->isInsideEvent, "%s", param->text);
}

ParameterizedTestParameters(messages, addresses)
{
    return cr_make_param_array(AddressCase, addressCases, std::size(addressCases));
}

ParameterizedTest(AddressCase *param, messages, addresses)
{
    const auto address = parseAddress(param->text);
    cr_assert_eq(address.has_value(), param->valid, "%s", param->text);
    if (address) {
        cr_assert(toText(address.value()) == param->text);
    }
}

ParameterizedTestParameters(messages, base64)
{
    return cr_make_param_array(Base64Case, base64Cases, std::size(base64Cases));
}

ParameterizedTest(Base64Case *param, messages, base64)
{
    const auto bytes = fromBase64(param->text);
    cr_assert_eq(bytes.has_value(), param->valid, "%s", param->text);
    if (bytes) {
        cr_assert(toBase64(bytes.value()) == param->text);
    }
}

Test(messages, percentEscapesRoundTrip)
{
    const std::string text("claims/3 +%\0\xff", 13);
    cr_assert(percentDecode(percentEncode(text)) == text);
    HttpRequest request;
    request.target = "/log/x?a=1&from=" + percentEncode("1&b=2") + "&c=d+e";
    cr_assert(request.query("from") == "1&b=2");
    cr_assert(request.query("c") == "d e");
    cr_assert(!request.query("b"));
    cr_assert(request.path() == "/log/x");
}

Test(messages, sseEventsSurviveAnySplit)
{
    const std::string text =
        sseEvent("9", "{\"a\":1}") + ": comment\n\n" + sseEvent("12", "two\nlines", "end") + "data: crlf\r\n\r\n";
    const std::vector<SseEvent> expected { { "9", "", "{\"a\":1}" },
                                           { "12", "end", "two\nlines" },
                                           { "12", "", "crlf" } };
    for (std::size_t split = 0; split <= text.size(); ++split) {
        SseParser parser;
        auto events = parser.feed(std::string_view(text).substr(0, split)).value();
        const auto rest = parser.feed(std::string_view(text).substr(split)).value();
        events.insert(events.end(), rest.begin(), rest.end());
        cr_assert(events == expected, "split at %zu", split);
    }
}

Test(messages, sseEventOverTheBoundFails)
{
    SseParser parser(10);
    cr_assert(parser.feed("data: 1\n\n").has_value());
    cr_assert(!parser.feed("data: 1234567"));
}

Test(messages, splitterKeepsEachByteOfAnySplit)
{
    const std::string text =
        "id: 1\ndata: a\n\n: comment\n\nid:2\r\ndata: b\r\n\r\ndata: c\rid: 3\r\rdata: d\n\n: rest\n";
    const std::vector<std::string> ids { "1", "", "2", "3", "" };
    const std::vector<bool> empty { false, true, false, false, false };
    for (std::size_t split = 0; split <= text.size(); ++split) {
        SseSplitter splitter;
        auto events = splitter.feed(std::string_view(text).substr(0, split));
        for (auto &event : splitter.feed(std::string_view(text).substr(split))) {
            events.push_back(std::move(event));
        }
        std::string bytes;
        std::vector<std::string> foundIds;
        std::vector<bool> foundEmpty;
        for (const auto &event : events) {
            bytes += event.bytes;
            foundIds.push_back(event.id);
            foundEmpty.push_back(event.isEmpty);
        }
        cr_assert(foundIds == ids, "split at %zu", split);
        cr_assert(foundEmpty == empty, "split at %zu", split);
        cr_assert(!splitter.isInsideEvent());
        cr_assert(bytes + splitter.takeRest() == text, "split at %zu", split);
    }
}

namespace
{

struct RepresentationCase {
    char firstType[40];
    char firstEncoding[12];
    char secondType[40];
    char secondEncoding[12];
    bool isSame;
};

RepresentationCase representationCases[] = {
    { "text/event-stream", "", "text/event-stream", "", true },
    { "text/event-stream", "", "Text/Event-Stream ; charset=utf-8", "", true },
    { "text/event-stream; a=b", "", "text/event-stream", "identity", true },
    { "", "", "", "", true },
    { "text/event-stream", "gzip", "text/event-stream", "GZIP", true },
    { "text/event-stream", "", "text/plain", "", false },
    { "text/event-stream", "", "text/event-streams", "", false },
    { "text/event-stream", "", "", "", false },
    { "", "", "text/event-stream", "", false },
    { "text/event-stream", "", "text/event-stream", "gzip", false },
    { "text/event-stream", "gzip", "text/event-stream", "", false },
};

HttpHead headOf(const char *type, const char *encoding)
{
    HttpHead head;
    if (*type != 0) {
        head.headers.push_back({ "content-type", type });
    }
    if (*encoding != 0) {
        head.headers.push_back({ "content-encoding", encoding });
    }
    return head;
}

} // namespace

ParameterizedTestParameters(messages, bodiesThatMayBePartsOfOne)
{
    return cr_make_param_array(RepresentationCase, representationCases, std::size(representationCases));
}

ParameterizedTest(RepresentationCase *test, messages, bodiesThatMayBePartsOfOne)
{
    const auto first = headOf(test->firstType, test->firstEncoding);
    const auto second = headOf(test->secondType, test->secondEncoding);
    cr_assert_eq(haveSameRepresentation(first, second), test->isSame, "%s, %s", test->firstType, test->secondType);
}

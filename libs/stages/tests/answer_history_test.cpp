#include <stages/stages.h>

#include <criterion/criterion.h>

using namespace lacewing;
using namespace lacewing::stages;

namespace
{

constexpr Time start { 100s };
const routing::EndpointLifetime endpoint { EndpointId("e"), Incarnation(1) };

std::vector<PieceTask> piecesOf(const std::string &request, std::uint32_t count)
{
    std::vector<PieceTask> pieces(count);
    for (std::uint32_t piece = 0; piece < count; ++piece) {
        pieces[piece].request = RequestId(request);
        pieces[piece].index = { 0, piece };
    }
    return pieces;
}

std::vector<std::optional<ResultHandle>> handles(const std::vector<std::string> &texts)
{
    std::vector<std::optional<ResultHandle>> result;
    for (const auto &text : texts) {
        result.push_back(text.empty() ? std::nullopt : std::optional(ResultHandle(text)));
    }
    return result;
}

} // namespace

/** A second copy of an answer gave pieces the results of other requests (issue 44, review/2). */
Test(answerHistory, recognizesTheResultsOfAnEarlierCall)
{
    AnswerHistory history;
    const auto a = piecesOf("a", 2);
    const auto b = piecesOf("b", 2);
    cr_assert_eq(history.record(endpoint, a, handles({ "h1", "h2" }), start), AnswerOrigin::New);
    cr_assert_eq(history.record(endpoint, b, handles({ "h1", "h2" }), start), AnswerOrigin::Repeated);
    cr_assert_eq(history.record(endpoint, b, handles({ "h3", "h4" }), start), AnswerOrigin::New);
    cr_assert_eq(history.record(endpoint, a, handles({ "", "h4" }), start),
                 AnswerOrigin::New,
                 "only the first result of an answer identifies it");
    cr_assert_eq(history.record(endpoint, a, handles({ "", "" }), start), AnswerOrigin::Unknown);
    cr_assert_eq(history.record(endpoint, a, handles({ "h1", "h2" }), start), AnswerOrigin::New, "the same call again");
}

Test(answerHistory, handlesBelongToOneLifetimeForATime)
{
    AnswerHistory history;
    const routing::EndpointLifetime next { endpoint.endpoint, Incarnation(2) };
    history.record(endpoint, piecesOf("a", 1), handles({ "h1" }), start);
    cr_assert_eq(history.record(next, piecesOf("b", 1), handles({ "h1" }), start), AnswerOrigin::New);
    cr_assert_eq(history.record(endpoint, piecesOf("b", 1), handles({ "h1" }), start + 10s), AnswerOrigin::Repeated);
    cr_assert_eq(history.record(endpoint, piecesOf("b", 1), handles({ "h1" }), start + 11s), AnswerOrigin::New);
}

#include <stages/stages.h>

#include <criterion/criterion.h>

using namespace lacewing;
using namespace lacewing::stages;

namespace
{

constexpr Time start { 100s };
constexpr ConnectionKey connection { 1 };

std::vector<PieceTask> piecesOf(const std::string &request, std::uint32_t count)
{
    std::vector<PieceTask> pieces(count);
    for (std::uint32_t piece = 0; piece < count; ++piece) {
        pieces[piece].request = RequestId(request);
        pieces[piece].index = { 0, piece };
    }
    return pieces;
}

} // namespace

/** A second copy of an answer gave pieces the results of other requests (issue 44, review/2). */
Test(answerHistory, recognizesTheResultsOfAnEarlierCall)
{
    AnswerHistory history;
    const auto a = piecesOf("a", 2);
    const auto b = piecesOf("b", 2);
    cr_assert(history.record(connection, a, ResultHandle("h1"), start) == AnswerOwner::ThisCall);
    cr_assert(history.record(connection, b, ResultHandle("h1"), start) == AnswerOwner::EarlierCall);
    cr_assert(history.record(connection, b, ResultHandle("h3"), start) == AnswerOwner::ThisCall);
    cr_assert(history.record(connection, a, ResultHandle("h4"), start) == AnswerOwner::ThisCall,
              "only the first result of an answer identifies it");
    cr_assert(history.record(connection, a, ResultHandle("h1"), start) == AnswerOwner::EitherCall);
    cr_assert(history.record(connection, b, ResultHandle("h4"), start) == AnswerOwner::EarlierCall);
}

/** Results of one request without an id were taken for those of another one (issue 48). */
Test(answerHistory, tellsRequestsWithoutAnIdApart)
{
    AnswerHistory history;
    auto a = piecesOf("", 1);
    a.front().contentKey = "a";
    auto b = piecesOf("", 1);
    b.front().contentKey = "b";
    cr_assert(history.record(connection, a, ResultHandle("h1"), start) == AnswerOwner::ThisCall);
    cr_assert(history.record(connection, b, ResultHandle("h1"), start) == AnswerOwner::EarlierCall);
    cr_assert(history.record(connection, a, ResultHandle("h1"), start) == AnswerOwner::EitherCall);
}

Test(answerHistory, handlesBelongToOneConnectionAsLongAsItMayBeOpen)
{
    AnswerHistory history;
    constexpr ConnectionKey next { 2 };
    const auto a = piecesOf("a", 1);
    const auto b = piecesOf("b", 1);
    const Time end = start + 2 * AnswerHistory::maxConnectionAge;
    cr_assert(history.record(connection, a, ResultHandle("h1"), start) == AnswerOwner::ThisCall);
    cr_assert(history.record(next, b, ResultHandle("h1"), start) == AnswerOwner::ThisCall);
    history.expire(end);
    cr_assert(history.record(connection, b, ResultHandle("h1"), end) == AnswerOwner::EarlierCall);
    history.expire(end + 1ms);
    cr_assert(history.record(connection, b, ResultHandle("h1"), end + 1ms) == AnswerOwner::ThisCall);
}

#include <routing/routing.h>

#include <criterion/criterion.h>
#include <criterion/parameterized.h>

using namespace lacewing;
using namespace lacewing::routing;

namespace
{

constexpr std::string_view nextRun = "|";
constexpr std::string_view noId = "-";

struct SequenceCase {
    char name[64];
    char lastEventId[24]; ///< that the caller sends; empty: it begins the stream
    char ids[64]; ///< of the events, with a mark between runs
    EventOrder lastOrder; ///< of the last event; those before it are next events
    bool canContinue; ///< after that
};

SequenceCase sequenceCases[] = {
    // One run
    { "begins at one", "", "1 2 3", EventOrder::Next, true },
    { "begins anywhere", "", "17 18", EventOrder::Next, true },
    { "skips within a run", "", "1 2 5", EventOrder::Next, true },
    { "repeats within a run", "", "1 2 2", EventOrder::Repeated, true },
    { "goes back within a run", "", "1 2 1", EventOrder::Repeated, true },
    { "texts of a run are its own", "", "x x x", EventOrder::Next, true },
    { "numbers after texts", "", "x 1 2", EventOrder::Next, true },
    { "events without ids", "", "- -", EventOrder::Next, false },
    { "last event without an id", "", "1 2 -", EventOrder::Next, false },
    { "an id after events without", "", "- 1", EventOrder::Next, true },
    { "number over all bounds", "", "99999999999999999999", EventOrder::Next, true },
    // Runs that continue it
    { "goes on", "", "1 2 | 3", EventOrder::Next, true },
    { "goes on twice", "", "1 2 | 3 4 | 5", EventOrder::Next, true },
    { "begins again", "", "1 2 | 1", EventOrder::Repeated, true },
    { "begins with the last event", "", "1 2 | 2", EventOrder::Repeated, true },
    { "last event in other digits", "", "1 2 | 02", EventOrder::Repeated, true },
    { "more digits", "", "8 9 | 10", EventOrder::Next, true },
    { "skips", "", "1 2 | 4", EventOrder::Gap, true },
    { "skips after a single event", "", "1 | 3", EventOrder::Gap, true },
    { "skips in the second continuation", "", "1 2 | 3 | 5", EventOrder::Gap, true },
    { "steps of ten", "", "10 20 | 30", EventOrder::Next, true },
    { "steps of different size", "", "1 2 4 | 9", EventOrder::Next, true },
    { "skips within its run", "", "1 2 | 3 7", EventOrder::Next, true },
    { "goes back within its run", "", "1 2 | 3 1", EventOrder::Repeated, true },
    { "first event without an id", "", "1 2 | -", EventOrder::Unidentified, true },
    { "event without an id after one that goes on", "", "1 2 | 3 -", EventOrder::Next, false },
    { "text after numbers", "", "1 2 | x", EventOrder::Unidentified, true },
    { "number after texts", "", "x y | 1", EventOrder::Unidentified, true },
    { "number over all bounds after numbers", "", "1 2 | 99999999999999999999", EventOrder::Unidentified, true },
    { "negative number after numbers", "", "1 2 | -3", EventOrder::Unidentified, true },
    { "other texts", "", "x y | z", EventOrder::Next, true },
    { "first text again", "", "x y | x", EventOrder::Repeated, true },
    { "last text again", "", "x y | y", EventOrder::Repeated, true },
    { "earlier text later in the run", "", "x y | z x", EventOrder::Repeated, true },
    // Without an event so far
    { "no event before", "", "| 1 2", EventOrder::Next, true },
    { "no event before, texts of a run", "", "| x x", EventOrder::Next, true },
    { "no event before, no ids", "", "| -", EventOrder::Next, false },
    // After an event that the caller names
    { "after the caller's event", "4", "5", EventOrder::Next, true },
    { "after the caller's event, steps unknown", "4", "8", EventOrder::Next, true },
    { "after the caller's event, in steps of one", "4", "5 | 7", EventOrder::Gap, true },
    { "after the caller's event, in other steps", "4", "8 | 12", EventOrder::Next, true },
    { "the caller's event again", "4", "4", EventOrder::Repeated, true },
    { "before the caller's event", "4", "1", EventOrder::Repeated, true },
    { "again, no event since", "4", "| 3", EventOrder::Repeated, true },
    { "text after the caller's number", "4", "x", EventOrder::Unidentified, true },
    { "no id after the caller's event", "4", "-", EventOrder::Unidentified, true },
    { "the caller's text again", "x", "x", EventOrder::Repeated, true },
    { "text after the caller's text", "x", "y", EventOrder::Next, true },
};

std::vector<std::string_view> split(std::string_view text)
{
    std::vector<std::string_view> words;
    while (!text.empty()) {
        const auto end = std::min(text.find(' '), text.size());
        words.push_back(text.substr(0, end));
        text.remove_prefix(std::min(end + 1, text.size()));
    }
    return words;
}

} // namespace

ParameterizedTestParameters(eventSequence, tellsWhichEventsTheCallerMayGet)
{
    return cr_make_param_array(SequenceCase, sequenceCases, std::size(sequenceCases));
}

ParameterizedTest(SequenceCase *test, eventSequence, tellsWhichEventsTheCallerMayGet)
{
    EventSequence sequence = *test->lastEventId == 0 ? EventSequence() : EventSequence(test->lastEventId);
    EventOrder order = EventOrder::Next;
    std::string lastId = test->lastEventId;
    for (const auto word : split(test->ids)) {
        cr_assert(order == EventOrder::Next, "%s: an event before the last one", test->name);
        if (word == nextRun) {
            sequence.beginRun();
            continue;
        }
        const auto id = word == noId ? std::string_view() : word;
        order = sequence.take(id);
        lastId = order == EventOrder::Next && !id.empty() ? id : lastId;
    }
    cr_assert(order == test->lastOrder, "%s: %s", test->name, std::string(toText(order)).c_str());
    cr_assert_eq(sequence.canContinue(), test->canContinue, "%s", test->name);
    cr_assert_eq(sequence.lastId(), lastId, "%s", test->name);
}

/** Ids that are no numbers are kept for comparison, in bounds. */
Test(eventSequence, withTooManyTextsIsNotContinued)
{
    EventSequence sequence;
    for (std::size_t index = 0; index < EventSequence::maxTextIds; ++index) {
        cr_assert(sequence.take("x" + std::to_string(index)) == EventOrder::Next);
    }
    cr_assert(sequence.canContinue());
    cr_assert(sequence.take("y") == EventOrder::Next);
    cr_assert_not(sequence.canContinue());
}

#pragma once

#include "framing.h"
#include "identity.h"
#include "session.h"

#include <algorithm>
#include <cstdlib>

/** What the fuzzer and the corpus replay do with one input. */
namespace lacewing::peer::sample
{

/** What an input brought about. */
struct Outcome {
    int events = 0;
    int identities = 0; ///< heads with a valid identity
    int frames = 0; ///< frames within bodies
    bool broken = false;
};

constexpr std::size_t maxPayload = 4'096;
constexpr std::size_t maxStreams = 8;
constexpr std::size_t outputBytes = 1 << 16;

/** Reads the body of a stream; aborts when a frame exceeds the bound. */
inline void readBody(FrameReader &reader, const StreamBytes &event, Outcome &outcome)
{
    const auto frames = reader.feed(event.bytes);
    if (!frames) {
        return;
    }
    for (const auto &frame : frames.value()) {
        if (frame.payload.size() > maxPayload) {
            std::abort();
        }
        errorFromPayload(frame.payload);
        ++outcome.frames;
    }
}

/** Answers the events of a session as a link would. */
inline void answerEvents(Session &session, std::map<StreamId, FrameReader> &readers, Outcome &outcome)
{
    for (const auto &event : session.takeEvents()) {
        ++outcome.events;
        if (const auto *opened = std::get_if<StreamOpened>(&event)) {
            readers.emplace(opened->stream, FrameReader(maxPayload));
            if (parseIdentity(opened->headers)) {
                ++outcome.identities;
                session.respond(opened->stream, { { ":status", "200" } });
                session.append(opened->stream, toBytes(FrameType::Data, "answer"));
            } else {
                session.refuse(opened->stream);
            }
        } else if (const auto *bytes = std::get_if<StreamBytes>(&event)) {
            if (const auto found = readers.find(bytes->stream); found != readers.end()) {
                readBody(found->second, *bytes, outcome);
            }
        } else if (const auto *ended = std::get_if<StreamEnded>(&event)) {
            session.finish(ended->stream);
        } else if (const auto *closed = std::get_if<StreamClosed>(&event)) {
            readers.erase(closed->stream);
        }
    }
}

/** Feeds bytes to one side; the first byte chooses the role and how the rest is cut into pieces. */
inline Outcome feed(std::string_view input)
{
    constexpr unsigned roleBit = 1;
    Outcome outcome;
    if (input.empty()) {
        return outcome;
    }
    const auto choice = static_cast<unsigned char>(input[0]);
    const bool isServer = (choice & roleBit) != 0;
    const std::size_t piece = 1 + (choice >> 1U);
    Session session(isServer ? Session::Role::Server : Session::Role::Client, maxStreams);
    if (!isServer) {
        const auto stream = session.open({ { ":method", "POST" }, { ":path", "/call" } });
        session.append(stream.value(), "request");
    }
    session.takeOutput(outputBytes);
    std::map<StreamId, FrameReader> readers;
    for (auto rest = input.substr(1); !rest.empty() && !outcome.broken;
         rest = rest.substr(std::min(piece, rest.size()))) {
        outcome.broken = !session.receive(rest.substr(0, piece));
        answerEvents(session, readers, outcome);
        session.takeOutput(outputBytes);
        answerEvents(session, readers, outcome);
        outcome.broken = outcome.broken || session.isBroken();
    }
    return outcome;
}

} // namespace lacewing::peer::sample

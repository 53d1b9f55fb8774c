#pragma once

#include "answer_sink.h"
#include "peer_calls.h"

#include <net/net.h>
#include <peer/peer.h>

#include <memory>

namespace lacewing::daemon
{

/**
 * Makes a sink that may be used on another thread than `home`: it passes everything to `sink` on the home loop, and
 * holds back what a slow reader can't take yet. Its piece() always takes the bytes.
 */
std::shared_ptr<AnswerSink> makeThreadHop(net::EventLoop &home, std::shared_ptr<AnswerSink> sink);

/** Makes a sink, used on the control thread, that answers a call of another VM. */
std::shared_ptr<AnswerSink> makePeerSink(peer::PeerCallWriter writer);

/** Gives a piece of another VM's answer to a sink. */
void giveToSink(const PeerPiece &piece, AnswerSink &sink);

} // namespace lacewing::daemon

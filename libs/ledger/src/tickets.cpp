#include <ledger/ledger.h>

#include <charconv>
#include <deque>

namespace lacewing::ledger
{
namespace
{

constexpr int hexBase = 16;

std::string toHex(std::uint64_t value)
{
    char digits[16];
    const auto result = std::to_chars(std::begin(digits), std::end(digits), value, hexBase);
    return { digits, result.ptr };
}

/** Takes a hexadecimal number and the '-' after it off the front of a text. */
std::optional<std::uint64_t> takeHex(std::string_view &text)
{
    const std::size_t dash = text.find('-');
    if (dash == std::string_view::npos) {
        return std::nullopt;
    }
    std::uint64_t value = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + dash, value, hexBase);
    if (error != std::errc() || end != text.data() + dash || dash == 0) {
        return std::nullopt;
    }
    text.remove_prefix(dash + 1);
    return value;
}

} // namespace

std::string toText(const Ticket &ticket)
{
    return "t-" + toHex(ticket.incarnation.value()) + '-' + toHex(ticket.high) + '-' + toHex(ticket.low) + '-'
        + ticket.vm.text();
}

std::optional<Ticket> ticketFromText(std::string_view text)
{
    if (!text.starts_with("t-")) {
        return std::nullopt;
    }
    text.remove_prefix(2);
    const auto incarnation = takeHex(text);
    const auto high = incarnation ? takeHex(text) : std::nullopt;
    const auto low = high ? takeHex(text) : std::nullopt;
    if (!low || text.empty()) {
        return std::nullopt;
    }
    return Ticket { VmId(std::string(text)), Incarnation(*incarnation), *high, *low };
}

class Tickets::State
{
public:
    enum class Status : std::uint8_t { Unused, Running, Ended, Refused };

    struct Entry {
        WorkspaceId workspace;
        Time expiry;
        Status status = Status::Unused;
        Fingerprint fingerprint; ///< of the request that used it
        JobId job;
        Ran ran = Ran::Unknown;
    };

    State(Self self, std::uint64_t seed, TicketsOptions options)
        : self_(std::move(self))
        , random_(seed)
        , options_(options)
    {
    }

    void forgetExpired(Time now)
    {
        while (!order_.empty() && order_.front().first <= now) {
            entries_.erase(order_.front().second);
            order_.pop_front();
        }
    }

    Result<Ticket> mint(const WorkspaceId &workspace, Time now)
    {
        forgetExpired(now);
        if (entries_.size() >= options_.maxTickets) {
            return failure(ErrorKind::TooMany, "too many tickets are held");
        }
        const Ticket ticket { self_.vm, self_.incarnation, random_.next(), random_.next() };
        const Time expiry = now + options_.lifetime;
        entries_[ticket] = Entry { workspace, expiry, Status::Unused, {}, {}, Ran::Unknown };
        order_.emplace_back(expiry, ticket);
        return ticket;
    }

    /** The entry of a ticket of this incarnation and workspace, or what to answer instead. */
    std::variant<Entry *, TicketVerdict> find(const Ticket &ticket, const WorkspaceId &workspace, Time now)
    {
        if (ticket.vm != self_.vm) {
            return TicketVerdict(ForwardTo { ticket.vm, ticket.incarnation });
        }
        forgetExpired(now);
        const auto found = entries_.find(ticket);
        if (found == entries_.end() || found->second.workspace != workspace) {
            return TicketVerdict(TicketUnknown {});
        }
        return &found->second;
    }

    TicketVerdict verdictOfUsed(const Entry &entry) const
    {
        switch (entry.status) {
        case Status::Running:
            return OwnedBy { self_.vm, entry.job };
        case Status::Ended:
            return TicketEnded { entry.job, entry.ran };
        case Status::Refused:
            return Voided {};
        case Status::Unused:
            break;
        }
        return TicketUnknown {};
    }

    Self self_;
    Random random_;
    TicketsOptions options_;
    std::map<Ticket, Entry> entries_;
    std::deque<std::pair<Time, Ticket>> order_; ///< by expiry
};

Tickets::Tickets(Self self, std::uint64_t seed, TicketsOptions options)
    : state_(std::make_unique<State>(std::move(self), seed, options))
{
}

Tickets::~Tickets() = default;
Tickets::Tickets(Tickets &&) noexcept = default;
Tickets &Tickets::operator=(Tickets &&) noexcept = default;

Result<Ticket> Tickets::mint(const WorkspaceId &workspace, Time now)
{
    return state_->mint(workspace, now);
}

TicketVerdict Tickets::use(
    const Ticket &ticket, const WorkspaceId &workspace, Fingerprint fingerprint, JobId job, Time now)
{
    const auto found = state_->find(ticket, workspace, now);
    if (const auto *verdict = std::get_if<TicketVerdict>(&found)) {
        return *verdict;
    }
    State::Entry &entry = *std::get<State::Entry *>(found);
    if (entry.status == State::Status::Unused) {
        entry.status = State::Status::Running;
        entry.fingerprint = fingerprint;
        entry.job = job;
        return RunHere {};
    }
    if (entry.status != State::Status::Refused && entry.fingerprint != fingerprint) {
        return KeyReused {};
    }
    return state_->verdictOfUsed(entry);
}

TicketVerdict Tickets::refuse(const Ticket &ticket, const WorkspaceId &workspace, Time now)
{
    const auto found = state_->find(ticket, workspace, now);
    if (const auto *verdict = std::get_if<TicketVerdict>(&found)) {
        return *verdict;
    }
    State::Entry &entry = *std::get<State::Entry *>(found);
    if (entry.status == State::Status::Unused) {
        entry.status = State::Status::Refused;
    }
    return state_->verdictOfUsed(entry);
}

void Tickets::ended(const Ticket &ticket, Ran ran)
{
    const auto found = state_->entries_.find(ticket);
    if (found != state_->entries_.end() && found->second.status == State::Status::Running) {
        found->second.status = State::Status::Ended;
        found->second.ran = ran;
    }
}

std::size_t Tickets::size() const noexcept
{
    return state_->entries_.size();
}

} // namespace lacewing::ledger

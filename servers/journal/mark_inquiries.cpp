#include "servers/journal/mark_inquiries.hpp"

#include <utility>

#include "servers/journal/journal_peers.hpp"

namespace fuchsiaquay {

mark_inquiries::mark_inquiries(duration timeout, writer_identity self, journal_peers& peers)
    : timeout_(timeout), self_(std::move(self)), peers_(peers) {}

std::optional<inquiry_result> mark_inquiries::ask(std::uint32_t shard, const writer_mark& mark,
                                                  instant now) {
    // A mark of this host that another process made belongs to a process that has ended.
    if (mark.host == self_.host || !peers_.alive(mark.host)) {
        return inquiry_result::unknown;
    }
    open_[mark] = {shard, now + timeout_};
    peers_.send(mark.host, mark_query{shard, mark.to_string(), self_.host});
    return std::nullopt;
}

std::optional<mark_inquiries::closed_inquiry> mark_inquiries::on_answer(const host_id& sender,
                                                                        const mark_answer& answer) {
    const std::optional<writer_mark> mark = parse_writer_mark(answer.mark);
    if (!mark || mark->host != sender) {
        return std::nullopt;
    }
    const auto inquiry = open_.find(*mark);
    if (inquiry == open_.end()) {
        return std::nullopt;
    }
    closed_inquiry closed{inquiry->second.shard, *mark, inquiry_result::unknown};
    open_.erase(inquiry);
    if (answer.use == mark_use::never_used) {
        closed.result = inquiry_result::never_used;
    } else if (answer.use == mark_use::used) {
        closed.result = inquiry_result::in_progress;
    }
    return closed;
}

std::vector<mark_inquiries::closed_inquiry> mark_inquiries::close_expired(instant now) {
    std::vector<closed_inquiry> closed;
    for (auto it = open_.begin(); it != open_.end();) {
        if (now < it->second.deadline) {
            ++it;
            continue;
        }
        const bool alive = peers_.alive(it->first.host);
        closed.push_back({it->second.shard, it->first,
                          alive ? inquiry_result::in_progress : inquiry_result::unknown});
        it = open_.erase(it);
    }
    return closed;
}

}  // namespace fuchsiaquay

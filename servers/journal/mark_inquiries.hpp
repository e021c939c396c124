#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "core/journal/inquiry_result.hpp"
#include "core/journal/writer_mark.hpp"
#include "core/messages/mark_answer.hpp"
#include "core/time/clock.hpp"
#include "servers/journal/writer_identity.hpp"

namespace fuchsiaquay {

class journal_peers;

/// Questions to other nodes about their marks. Each ends with an answer or at the timeout.
class mark_inquiries {
public:
    /// How an inquiry ended.
    struct closed_inquiry {
        std::uint32_t shard = 0;
        writer_mark mark;
        inquiry_result result = inquiry_result::unknown;
    };

    mark_inquiries(duration timeout, writer_identity self, journal_peers& peers);

    /// Asks the writer of `mark`. Gives the result at once when there is nobody to ask.
    std::optional<inquiry_result> ask(std::uint32_t shard, const writer_mark& mark, instant now);
    /// Only the host of the mark itself may answer; nothing for any other answer.
    std::optional<closed_inquiry> on_answer(const host_id& sender, const mark_answer& answer);
    /// Ends the inquiries that got no answer in time. A host that the membership holds for alive
    /// counts as having the call in hand.
    std::vector<closed_inquiry> close_expired(instant now);

private:
    struct open_inquiry {
        std::uint32_t shard = 0;
        instant deadline;
    };

    duration timeout_;
    writer_identity self_;
    journal_peers& peers_;
    std::map<writer_mark, open_inquiry> open_;
};

}  // namespace fuchsiaquay

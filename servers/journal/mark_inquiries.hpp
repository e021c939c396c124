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

/// Pending inquiries to other nodes about marks that they made. Each one ends with an answer or a
/// timeout.
class mark_inquiries {
public:
    /// Result of an inquiry that has ended.
    struct closed_inquiry {
        std::uint32_t shard = 0;
        writer_mark mark;
        inquiry_result result = inquiry_result::unknown;
    };

    mark_inquiries(duration timeout, writer_identity self, journal_peers& peers);

    /// Sends an inquiry to the writer of `mark`. Returns the result immediately if that writer
    /// cannot be asked.
    std::optional<inquiry_result> ask(std::uint32_t shard, const writer_mark& mark, instant now);
    /// Ends the inquiry that `answer` belongs to. Returns no value for an unexpected answer or one
    /// whose sender is not the host of the mark.
    std::optional<closed_inquiry> on_answer(const host_id& sender, const mark_answer& answer);
    /// Ends the inquiries that timed out. If the membership considers the host alive, its call is
    /// assumed to be in progress.
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

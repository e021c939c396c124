#pragma once

#include <tuple>

#include "core/identity/names.hpp"
#include "core/messages/reserve_reply.hpp"

namespace fuchsiaquay {

/// A reply and the entry host to send it to.
struct addressed_reply {
    host_id to;
    reserve_reply reply;

    friend bool operator==(const addressed_reply& a, const addressed_reply& b) {
        return std::tie(a.to, a.reply) == std::tie(b.to, b.reply);
    }
    friend bool operator!=(const addressed_reply& a, const addressed_reply& b) { return !(a == b); }
};

}  // namespace fuchsiaquay

#pragma once

#include <cstdint>
#include <tuple>

#include "core/identity/names.hpp"

namespace fuchsiaquay {

/// Renews a grant and registers it again at a new owner.
struct grant_renewal {
    grant_id grant;
    request_id request;
    upstream_id upstream;
    host_id entry_host;
    customer_id customer;
    int level = 0;
    std::int64_t memory_tokens = 0;

    friend bool operator==(const grant_renewal& a, const grant_renewal& b) {
        return std::tie(a.grant, a.request, a.upstream, a.entry_host, a.customer, a.level,
                        a.memory_tokens) == std::tie(b.grant, b.request, b.upstream, b.entry_host,
                                                     b.customer, b.level, b.memory_tokens);
    }
    friend bool operator!=(const grant_renewal& a, const grant_renewal& b) { return !(a == b); }
};

}  // namespace fuchsiaquay

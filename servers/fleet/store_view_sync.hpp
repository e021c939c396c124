#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "core/fleet/host_record.hpp"
#include "core/fleet/view_reply.hpp"
#include "core/fleet/view_request.hpp"
#include "core/identity/names.hpp"
#include "core/time/clock.hpp"
#include "servers/fleet/store_view_sync_services.hpp"

namespace fuchsiaquay {

/// Keeps configuration and catalogue current with few calls to the store. One host of each data
/// centre watches the store; the others ask it every moment how current its copies are and what has
/// changed. A host that nobody can tell enough watches the store itself.
///
/// An age counts from the question, not from the answer, so that an answer that was delayed, or lay
/// unread while this host was suspended, never makes a copy look newer than it is.
class store_view_sync {
public:
    store_view_sync(host_record self, const store_view_sync_services& services);

    void start();
    void handle_request(const view_request& request);
    void handle_reply(const view_reply& reply);
    /// Whether this host watches the store for its data centre.
    bool watches_store() const noexcept { return watcher_; }

private:
    struct question {
        std::string host;
        instant sent_at{};
        /// Revision after which it asked for changes of the catalogue.
        std::int64_t catalogue_revision = 0;
    };

    void tick();
    void decide_duty(instant now);
    /// The live hosts of this data centre, this one included.
    std::vector<host_id> near_hosts() const;
    bool is_watcher() const;
    bool stands_in_first() const;
    void pull(instant now);
    void ask(const host_record& host);
    void ask_for_newer(const host_record& host);
    std::vector<host_record> sources() const;
    /// Hosts that may answer when none is heard, the one that registered last first.
    std::vector<host_record> newest_listed() const;
    /// @param as_of  time at which `view` was current
    void take_catalogue(const catalogue_delta& view, instant as_of);
    /// Fetches from host `name` what did not fit into its reply.
    /// @param known  revision after which changes are wanted
    void fetch_catalogue(const std::string& name, std::int64_t known, instant as_of);
    /// @param as_of  time at which `revision` was the current one
    void fetch_configuration(const host_record& host, std::int64_t revision, instant as_of,
                             bool any_size);
    /// Fetches a large configuration: hosts that stand by do so one after the other.
    void fetch_in_turn(const host_record& host, std::int64_t revision, instant as_of);
    void read_configuration();

    host_record self_;
    store_view_sync_services services_;
    instant started_at_{};
    std::optional<instant> settled_at_;
    bool watcher_ = false;
    instant decided_at_{};
    instant pulled_at_{};
    std::uint64_t nonce_ = 0;
    std::optional<question> open_;
    /// Whom to ask, in this order.
    std::vector<host_record> candidates_;
    /// Grows with each source that could not help.
    std::size_t source_ = 0;
    std::uint64_t pulls_ = 0;
    bool fetching_ = false;
    bool fetching_catalogue_ = false;
    /// When this host, standing by, may fetch a large catalogue.
    instant catalogue_turn_{};
};

}  // namespace fuchsiaquay

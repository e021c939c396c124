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

/// Keeps the configuration and the catalogue current with few calls to the store. One host of each
/// data centre watches the store. The other hosts poll it for the age of its copies and for
/// changes. A host that cannot get a recent copy from any other host watches the store itself.
///
/// Ages are counted from the time of the request, not of the reply, so that a reply that was
/// delayed or was not read while this host was suspended never makes a copy look newer than it is.
class store_view_sync {
public:
    store_view_sync(host_record self, const store_view_sync_services& services);

    void start();
    void handle_request(const view_request& request);
    void handle_reply(const view_reply& reply);
    /// Whether this host watches the store for its data centre.
    bool watches_store() const noexcept { return watcher_; }

private:
    struct sent_request {
        std::string host;
        instant sent_at{};
        /// Revision after which changes of the catalogue were requested.
        std::int64_t catalogue_revision = 0;
    };

    /// What another host has of the operator's configuration and evacuations.
    struct operator_state {
        std::int64_t configuration_revision = 0;
        /// Whether it knows the evacuations.
        bool has_evacuations = false;
        /// Time at which both were current.
        instant as_of{};
    };

    void tick();
    void update_watching(instant now);
    /// Notes whether another host has a newer configuration than this one.
    void update_behind();
    /// Live serving hosts of this data centre, including this one if it serves.
    std::vector<host_id> local_hosts() const;
    bool is_watcher() const;
    bool is_first_fallback() const;
    void pull(instant now);
    void send_request(const host_record& host);
    void request_newer_configuration(const host_record& host);
    std::vector<host_record> choose_sources() const;
    /// Listed hosts in descending order of registration. Used if no host has been heard.
    std::vector<host_record> listed_by_latest_start() const;
    /// @param as_of  time at which `delta` was current
    void apply_catalogue(const catalogue_delta& delta, instant as_of);
    /// Fetches the changes that did not fit into the reply of host `name`.
    /// @param known_revision  revision after which changes are requested
    void fetch_catalogue(const std::string& name, std::int64_t known_revision, instant as_of);
    /// Records that this host has all that `state` describes. Without the evacuations, the copy is
    /// not current.
    void confirm(const operator_state& state);
    void fetch_configuration(const host_record& host, const operator_state& state, bool any_size);
    /// Fetches a large configuration after a delay that differs between hosts on standby, so that
    /// they do not all fetch it at once.
    void fetch_after_delay(const host_record& host, const operator_state& state);
    /// Lets the mirror continue after the revision of a configuration, if it mirrors nothing else.
    void advance_mirror(std::int64_t configuration_revision);
    void read_configuration();

    host_record self_;
    store_view_sync_services services_;
    instant started_at_{};
    std::optional<instant> settled_at_;
    bool watcher_ = false;
    instant watching_updated_at_{};
    instant pulled_at_{};
    std::uint64_t nonce_ = 0;
    /// Greatest revision of a configuration that another host has told of.
    std::int64_t newest_configuration_ = 0;
    std::optional<sent_request> pending_request_;
    /// Hosts to which requests are sent, in order of preference.
    std::vector<host_record> candidates_;
    /// Index of the current candidate, modulo their number. Incremented if it is silent or
    /// outdated.
    std::size_t source_index_ = 0;
    std::uint64_t request_count_ = 0;
    bool fetching_configuration_ = false;
    bool fetching_catalogue_ = false;
    /// Time from which this host, while on standby, may fetch a large catalogue.
    instant catalogue_fetch_due_at_{};
};

}  // namespace fuchsiaquay

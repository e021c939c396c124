#include "drivers/store/etcd_store.hpp"

#include <cpprest/http_client.h>

#include <atomic>
#include <chrono>
#include <map>
#include <utility>

#include "drivers/control/control_loop.hpp"
#include "drivers/http/body_reader.hpp"
#include "drivers/http/make_http_client.hpp"
#include "drivers/store/etcd_json.hpp"

namespace fuchsiaquay {

namespace json = web::json;
using web::http::client::http_client;
using web::http::client::http_client_config;

namespace {

/// The library's time-out also applies between two pieces of a stream, so a watch without events
/// ends after this time. Its owner then resumes it from the last revision.
constexpr std::chrono::seconds watch_idle_timeout(60);

http_client_config client_config(duration timeout) {
    http_client_config config;
    config.set_timeout(timeout);
    return config;
}

/// State of an active watch. Used on the control thread only; cancelled through its token.
struct watch_state {
    pplx::cancellation_token_source cancellation;
    key_value_store::watch_handler event;
    key_value_store::watch_end_handler end;
    std::string partial_line;
};

}  // namespace

class etcd_store::impl : public std::enable_shared_from_this<impl> {
public:
    using response_handler = std::function<void(const json::value& response)>;
    using failure_handler = std::function<void(const std::string& failure)>;

    impl(control_loop& loop, const std::string& base_uri, duration call_timeout)
        : loop_(loop), base_uri_(base_uri), call_timeout_(call_timeout), client_(make_client()) {}

    /// Posts `body` to `path`; exactly one of the handlers runs, on the control thread.
    void call(const std::string& path, const json::value& body, response_handler on_response,
              failure_handler on_failure) {
        call_with_client(client_, path, body, std::move(on_response), std::move(on_failure));
    }

    /// Like `call`, on a new connection. The library repeats a request when a reused connection
    /// breaks; if the first copy of a write took effect, the repeated one reports a conflict.
    void call_on_new_connection(const std::string& path, const json::value& body,
                                response_handler on_response, failure_handler on_failure) {
        call_with_client(make_client(), path, body, std::move(on_response), std::move(on_failure));
    }

    void call_with_client(const std::shared_ptr<http_client>& client, const std::string& path,
                          const json::value& body, response_handler on_response,
                          failure_handler on_failure) {
        ++calls_;
        auto self = shared_from_this();
        client->request(web::http::methods::POST, path, body)
            .then([](const web::http::http_response& response) {
                if (response.status_code() != web::http::status_codes::OK) {
                    throw web::http::http_exception("status " +
                                                    std::to_string(response.status_code()));
                }
                return response.extract_json(true);
            })
            .then([self, client, on_response = std::move(on_response),
                   on_failure = std::move(on_failure)](const pplx::task<json::value>& response) {
                try {
                    const json::value value = response.get();
                    self->loop_.post([on_response, value] { on_response(value); });
                } catch (const std::exception& error) {
                    const std::string reason = error.what();
                    self->loop_.post([self, on_failure, reason] {
                        // The pooled connection may be dead without having been closed.
                        self->client_ = self->make_client();
                        on_failure(reason);
                    });
                }
            });
    }

    watch_id open_watch(const std::string& prefix, std::int64_t from_revision, watch_handler event,
                        watch_end_handler end) {
        ++calls_;
        const watch_id id = ++last_watch_;
        auto entry = std::make_shared<watch_state>();
        entry->event = std::move(event);
        entry->end = std::move(end);
        watches_[id] = entry;
        auto self = shared_from_this();
        auto client = make_client(watch_idle_timeout);
        client
            ->request(web::http::methods::POST, "/v3/watch", watch_request(prefix, from_revision),
                      entry->cancellation.get_token())
            .then([self, id, client](const pplx::task<web::http::http_response>& opened) {
                try {
                    self->read_events(id, client, opened.get());
                } catch (const std::exception& error) {
                    self->post_end(id, error.what());
                }
            });
        return id;
    }

    void cancel(watch_id id) {
        const auto found = watches_.find(id);
        if (found == watches_.end()) {
            return;
        }
        found->second->cancellation.cancel();
        watches_.erase(found);
    }

    void cancel_all() {
        while (!watches_.empty()) {
            cancel(watches_.begin()->first);
        }
    }

    std::uint64_t calls() const { return calls_; }

private:
    std::shared_ptr<http_client> make_client() const { return make_client(call_timeout_); }

    std::shared_ptr<http_client> make_client(duration timeout) const {
        return make_http_client(base_uri_, client_config(timeout));
    }

    void read_events(watch_id id, const std::shared_ptr<http_client>& client,
                     const web::http::http_response& response) {
        if (response.status_code() != web::http::status_codes::OK) {
            post_end(id, "status " + std::to_string(response.status_code()));
            return;
        }
        auto self = shared_from_this();
        body_reader::read(
            response.body(),
            [self, id, client](const std::string& piece) {
                self->loop_.post([self, id, piece] { self->process_piece(id, piece); });
                return true;
            },
            [self, id](const std::string& failure) {
                self->post_end(id, failure.empty() ? "closed" : failure);
            });
    }

    void process_piece(watch_id id, const std::string& piece) {
        const auto found = watches_.find(id);
        if (found == watches_.end()) {
            return;
        }
        const std::shared_ptr<watch_state> entry = found->second;
        entry->partial_line += piece;
        std::size_t newline = entry->partial_line.find('\n');
        while (newline != std::string::npos) {
            const std::string line = entry->partial_line.substr(0, newline);
            entry->partial_line.erase(0, newline + 1);
            if (!process_line(id, *entry, line)) {
                return;
            }
            newline = entry->partial_line.find('\n');
        }
    }

    bool process_line(watch_id id, const watch_state& entry, const std::string& line) {
        try {
            for (const watch_event& event : parse_watch_line(line)) {
                entry.event(event);
            }
            return watches_.count(id) > 0;
        } catch (const std::exception& error) {
            finish(id, error.what());
            return false;
        }
    }

    void post_end(watch_id id, const std::string& reason) {
        auto self = shared_from_this();
        loop_.post([self, id, reason] { self->finish(id, reason); });
    }

    void finish(watch_id id, const std::string& reason) {
        const auto found = watches_.find(id);
        if (found == watches_.end()) {
            return;
        }
        const std::shared_ptr<watch_state> entry = found->second;
        cancel(id);
        entry->end(reason);
    }

    control_loop& loop_;
    std::string base_uri_;
    duration call_timeout_;
    std::shared_ptr<http_client> client_;
    std::map<watch_id, std::shared_ptr<watch_state>> watches_;
    watch_id last_watch_ = 0;
    std::atomic<std::uint64_t> calls_{0};
};

etcd_store::etcd_store(control_loop& loop, const std::string& base_uri, duration call_timeout)
    : impl_(std::make_shared<impl>(loop, base_uri, call_timeout)) {}

etcd_store::~etcd_store() {
    impl_->cancel_all();
}

void etcd_store::read(const std::string& key, read_handler done) {
    impl_->call(
        "/v3/kv/range", range_request(key, ""),
        [done](const json::value& response) { done(parse_range(response)); },
        [done](const std::string& failure) {
            done(read_result{failure, {}, 0});
        });
}

void etcd_store::read_prefix(const std::string& prefix, read_handler done) {
    impl_->call(
        "/v3/kv/range", range_request(prefix, prefix_range_end(prefix)),
        [done](const json::value& response) { done(parse_range(response)); },
        [done](const std::string& failure) {
            done(read_result{failure, {}, 0});
        });
}

void etcd_store::commit(const transaction& change, write_handler done) {
    impl_->call_on_new_connection(
        "/v3/kv/txn", txn_request(change),
        [done](const json::value& response) { done(parse_txn(response)); },
        [done](const std::string& failure) {
            done(write_result{write_outcome::unknown, 0, failure});
        });
}

void etcd_store::grant_lease(duration lifetime, lease_handler done) {
    const auto seconds = std::chrono::duration_cast<std::chrono::seconds>(lifetime).count();
    json::value body = json::value::object();
    body["TTL"] = json::value::string(std::to_string(seconds));
    impl_->call(
        "/v3/lease/grant", body,
        [done](const json::value& response) { done(parse_lease(response)); },
        [done](const std::string&) { done(0); });
}

void etcd_store::keep_alive(std::int64_t lease, keep_alive_handler done) {
    json::value body = json::value::object();
    body["ID"] = json::value::string(std::to_string(lease));
    impl_->call(
        "/v3/lease/keepalive", body,
        [done](const json::value& response) { done(parse_keep_alive(response)); },
        [done](const std::string&) { done(false); });
}

void etcd_store::revoke_lease(std::int64_t lease) {
    json::value body = json::value::object();
    body["ID"] = json::value::string(std::to_string(lease));
    impl_->call(
        "/v3/lease/revoke", body, [](const json::value&) {}, [](const std::string&) {});
}

key_value_store::watch_id etcd_store::watch(const std::string& prefix, std::int64_t from_revision,
                                            watch_handler event, watch_end_handler end) {
    return impl_->open_watch(prefix, from_revision, std::move(event), std::move(end));
}

void etcd_store::cancel_watch(watch_id id) {
    impl_->cancel(id);
}

std::uint64_t etcd_store::call_count() const {
    return impl_->calls();
}

}  // namespace fuchsiaquay

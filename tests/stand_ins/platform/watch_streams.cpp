#include "tests/stand_ins/platform/watch_streams.hpp"

#include "tests/stand_ins/support/http_server.hpp"
#include "tests/stand_ins/support/stream_writer.hpp"

namespace fuchsiaquay::stand_ins {

void watch_streams::open(const web::http::http_request& request, const web::json::value& body) {
    const web::json::value& terms = body.at("create_request");
    watch entry;
    entry.key = bytes_field(terms, "key");
    entry.range_end = bytes_field(terms, "range_end");
    entry.next_revision = number_field(terms, "start_revision", store_.revision() + 1);
    write_text(entry.buffer, calls_.created_line() + "\n");
    web::http::http_response response(web::http::status_codes::OK);
    response.set_body(entry.buffer.create_istream(), "application/json");
    auto buffer = entry.buffer;
    web::http::http_request(request).reply(response).then(
        [buffer](const pplx::task<void>& sent) mutable {
            try {
                sent.get();
            } catch (const std::exception&) {
                // The watcher has disconnected; closing the buffer makes the next delivery remove
                // the watch.
            }
            buffer.close();
        });
    watches_.push_back(entry);
    deliver();
}

void watch_streams::deliver() {
    for (auto it = watches_.begin(); it != watches_.end();) {
        const auto events = store_.events(it->key, it->range_end, it->next_revision);
        it->next_revision = std::max(it->next_revision, store_.revision() + 1);
        const bool writable = it->buffer.can_write();
        if (!writable ||
            (!events.empty() && !write_text(it->buffer, calls_.watch_line(events) + "\n"))) {
            it = watches_.erase(it);
        } else {
            ++it;
        }
    }
}

void watch_streams::close_all() {
    for (watch& entry : watches_) {
        entry.buffer.close(std::ios_base::out);
    }
    watches_.clear();
}

}  // namespace fuchsiaquay::stand_ins

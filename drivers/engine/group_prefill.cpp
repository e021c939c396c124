#include "drivers/engine/group_prefill.hpp"

#include <cpprest/http_client.h>

#include <algorithm>
#include <utility>

#include "drivers/control/control_loop.hpp"
#include "drivers/http/client_pool.hpp"

namespace fuchsiaquay {

namespace http = web::http;
namespace json = web::json;

namespace {

constexpr std::size_t bytes_per_token = 4;
/// Delay before the export is requested again. An engine responds with 404 while the prefill is
/// not finished.
constexpr duration export_poll_period = std::chrono::milliseconds(100);

json::value stream_body(const plan_part& part) {
    json::value body = json::value::object();
    body["stream_id"] = json::value::string(part.grant.value());
    return body;
}

}  // namespace

group_prefill::group_prefill(control_loop& loop, client_pool& clients, std::vector<plan_part> parts,
                             std::string model, std::shared_ptr<const std::string> prompt,
                             int priority, done_handler done)
    : loop_(loop),
      clients_(clients),
      parts_(std::move(parts)),
      model_(std::move(model)),
      prompt_(std::move(prompt)),
      priority_(priority),
      done_(std::move(done)) {}

group_prefill::~group_prefill() = default;

void group_prefill::start() {
    std::size_t offset = 0;
    for (std::size_t i = 0; i < parts_.size(); ++i) {
        const std::size_t size =
            static_cast<std::size_t>(parts_[i].prompt_tokens) * bytes_per_token;
        prefill_part(i, prompt_->substr(std::min(offset, prompt_->size()), size));
        offset += size;
    }
}

void group_prefill::prefill_part(std::size_t index, const std::string& text) {
    const plan_part& part = parts_[index];
    json::value body = stream_body(part);
    body["model"] = json::value::string(model_);
    body["prompt"] = json::value::string(text);
    body["priority"] = json::value::number(priority_);
    auto client = clients_.get(part.target.address, part.target.port);
    auto self = shared_from_this();
    client->request(http::methods::POST, "/v1/prefill", body)
        .then([self, client, index](const pplx::task<http::http_response>& answer) {
            try {
                const http::status_code status = answer.get().status_code();
                if (status != http::status_codes::OK) {
                    self->fail(index, "status_" + std::to_string(status));
                    return;
                }
                self->poll_export(index);
            } catch (const std::exception&) {
                self->fail(index, "broken");
            }
        });
}

void group_prefill::poll_export(std::size_t index) {
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        if (!done_) {
            return;
        }
    }
    const plan_part& part = parts_[index];
    auto client = clients_.get(part.target.address, part.target.port);
    auto self = shared_from_this();
    client->request(http::methods::POST, "/v1/kv/export", stream_body(part))
        .then([self, client, index](const pplx::task<http::http_response>& answer) {
            try {
                const http::status_code status = answer.get().status_code();
                if (status == http::status_codes::OK) {
                    self->finish_part();
                } else if (status == http::status_codes::NotFound) {
                    self->schedule_poll(index);
                } else {
                    self->fail(index, "status_" + std::to_string(status));
                }
            } catch (const std::exception&) {
                self->fail(index, "broken");
            }
        });
}

void group_prefill::schedule_poll(std::size_t index) {
    auto self = shared_from_this();
    loop_.post([self, index] {
        self->loop_.after(export_poll_period, [self, index] { self->poll_export(index); });
    });
}

void group_prefill::finish_part() {
    done_handler done;
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        ++exported_parts_;
        if (exported_parts_ < parts_.size() || !done_) {
            return;
        }
        done = std::exchange(done_, nullptr);
    }
    done("", upstream_id());
}

void group_prefill::fail(std::size_t index, const std::string& failure) {
    done_handler done;
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        done = std::exchange(done_, nullptr);
    }
    if (done) {
        clients_.drop(parts_[index].target.address, parts_[index].target.port);
        done(failure, parts_[index].target.id);
    }
}

void group_prefill::cancel() {
    const std::lock_guard<std::mutex> lock(mutex_);
    done_ = nullptr;
}

void group_prefill::release_parts() const {
    for (const plan_part& part : parts_) {
        auto client = clients_.get(part.target.address, part.target.port);
        const std::string path = "/v1/streams/" + web::uri::encode_data_string(part.grant.value());
        client->request(http::methods::DEL, path)
            .then([client](const pplx::task<http::http_response>& answer) {
                try {
                    answer.wait();
                } catch (const std::exception&) {
                    // Ignored: the owner of the engine cancels streams that have no grant.
                }
            });
    }
}

}  // namespace fuchsiaquay

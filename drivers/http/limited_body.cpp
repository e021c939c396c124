#include "drivers/http/limited_body.hpp"

#include <atomic>
#include <memory>
#include <utility>

#include "drivers/control/control_loop.hpp"
#include "drivers/http/body_reader.hpp"

namespace fuchsiaquay {

namespace {

/// State of one read. It ends once: at the end of the body, at an error or limit, or by timeout.
class body_read {
public:
    body_read(std::size_t max_bytes, std::function<void(body_outcome, const std::string&)> done)
        : max_bytes_(max_bytes), done_(std::move(done)) {}

    bool accept(const std::string& piece) {
        if (body_.size() + piece.size() > max_bytes_) {
            end(body_outcome::too_large);
            return false;
        }
        body_ += piece;
        return !ended_;
    }

    void end(body_outcome outcome) {
        if (ended_.exchange(true)) {
            return;
        }
        done_(outcome, outcome == body_outcome::complete ? body_ : std::string());
    }

private:
    std::size_t max_bytes_;
    std::function<void(body_outcome, const std::string&)> done_;
    std::string body_;
    std::atomic<bool> ended_{false};
};

}  // namespace

void read_limited_body(control_loop& loop, const web::http::http_request& message,
                       std::size_t max_bytes, duration timeout,
                       std::function<void(body_outcome, const std::string&)> done) {
    auto state = std::make_shared<body_read>(max_bytes, std::move(done));
    if (message.headers().content_length() > max_bytes) {
        state->end(body_outcome::too_large);
        return;
    }
    const std::weak_ptr<body_read> watched = state;
    loop.post([&loop, watched, timeout] {
        loop.after(timeout, [watched] {
            if (const auto slow = watched.lock()) {
                slow->end(body_outcome::too_slow);
            }
        });
    });
    body_reader::read(
        message.body(), [state](const std::string& piece) { return state->accept(piece); },
        [state](const std::string& failure) {
            state->end(failure.empty() ? body_outcome::complete : body_outcome::broken);
        });
}

}  // namespace fuchsiaquay

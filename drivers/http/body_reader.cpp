#include "drivers/http/body_reader.hpp"

#include <algorithm>
#include <utility>

namespace fuchsiaquay {

namespace {

constexpr std::size_t piece_bytes = 64 * 1024;

}  // namespace

body_reader::body_reader(const concurrency::streams::istream& body, piece_handler piece,
                         end_handler end)
    : body_(body), piece_(std::move(piece)), end_(std::move(end)), buffer_(piece_bytes) {}

void body_reader::read(const concurrency::streams::istream& body, piece_handler piece,
                       end_handler end) {
    const std::shared_ptr<body_reader> reader(
        new body_reader(body, std::move(piece), std::move(end)));
    reader->wait();
}

void body_reader::wait() {
    auto self = shared_from_this();
    body_.streambuf().getc().then([self](const pplx::task<int>& next) {
        std::string failure;
        try {
            if (next.get() != std::char_traits<char>::eof()) {
                self->take_available();
                return;
            }
        } catch (const std::exception& error) {
            failure = error.what();
        }
        self->end_(failure);
    });
}

void body_reader::take_available() {
    auto self = shared_from_this();
    const std::size_t available = std::max<std::size_t>(body_.streambuf().in_avail(), 1);
    const std::size_t wanted = std::min(available, buffer_.size());
    body_.streambuf()
        .getn(buffer_.data(), wanted)
        .then([self](const pplx::task<std::size_t>& taken) {
            std::string failure;
            try {
                const std::size_t count = taken.get();
                const std::string piece(self->buffer_.begin(),
                                        self->buffer_.begin() + static_cast<std::ptrdiff_t>(count));
                if (self->piece_(piece)) {
                    self->wait();
                    return;
                }
            } catch (const std::exception& error) {
                failure = error.what();
            }
            self->end_(failure);
        });
}

}  // namespace fuchsiaquay

#include "drivers/http/body_reader.hpp"

#include <utility>

namespace fuchsiaquay {

body_reader::body_reader(const concurrency::streams::istream& body, piece_handler piece,
                         end_handler end)
    : body_(body), piece_(std::move(piece)), end_(std::move(end)) {}

void body_reader::read(const concurrency::streams::istream& body, piece_handler piece,
                       end_handler end) {
    const std::shared_ptr<body_reader> reader(
        new body_reader(body, std::move(piece), std::move(end)));
    reader->wait_for_data();
}

void body_reader::wait_for_data() {
    auto self = shared_from_this();
    body_.streambuf().getc().then([self](const pplx::task<int>& next) {
        std::string failure;
        try {
            if (next.get() != std::char_traits<char>::eof()) {
                if (self->read_available()) {
                    self->wait_for_data();
                    return;
                }
            }
        } catch (const std::exception& error) {
            failure = error.what();
        }
        self->end_(failure);
    });
}

bool body_reader::read_available() {
    // Starts no task for each piece, as waking a thread costs more than copying the bytes.
    auto buffer = body_.streambuf();
    while (buffer.in_avail() > 0) {
        std::uint8_t* bytes = nullptr;
        std::size_t count = 0;
        if (!buffer.acquire(bytes, count) || count == 0) {
            return true;
        }
        const std::string piece(bytes, bytes + count);
        buffer.release(bytes, count);
        if (!piece_(piece)) {
            return false;
        }
    }
    return true;
}

}  // namespace fuchsiaquay

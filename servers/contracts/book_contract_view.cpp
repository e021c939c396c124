#include "servers/contracts/book_contract_view.hpp"

#include "core/contract/contract_book.hpp"
#include "core/contract/contract_table.hpp"

namespace fuchsiaquay {

std::shared_ptr<const contract> book_contract_view::find_by_key(
    const std::string& key_digest) const {
    return book_.table()->find_by_key(key_digest);
}

std::shared_ptr<const contract> book_contract_view::find(const customer_id& customer) const {
    return book_.table()->find(customer);
}

bool book_contract_view::ready() const {
    return book_.caught_up();
}

}  // namespace fuchsiaquay

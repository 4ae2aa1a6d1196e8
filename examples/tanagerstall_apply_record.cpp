// Reads a configuration record from standard input, validates it and prints its
// key and canonical form.
#include "tanagerstall/tanagerstall_all.hpp"

#include <iostream>
#include <iterator>

int
main()
{
  std::string text(std::istreambuf_iterator<char>(std::cin), {});
  auto record = tanagerstall::ReadRecord(text);
  if (!record) {
    std::cerr << record.error().record_ << ": " << record.error().field_ << ": "
              << record.error().message_ << "\n";
    return 1;
  }
  std::cout << record->key_ << "\n" << record->body_ << "\n";
  return 0;
}

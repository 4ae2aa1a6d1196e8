// Tests that the stand-in resumes a completion after an already generated
// prefix, and that its fault settings are validated.
#define BOOST_TEST_MODULE standin
#include "tanagerstall/process/standin/tanagerstall_standin_faults.hpp"
#include "tanagerstall/process/standin/tanagerstall_standin_model.hpp"

#include <boost/json.hpp>
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

using namespace tanagerstall;
namespace data = boost::unit_test::data;
namespace json = boost::json;

namespace {

const std::string kPrompt = "user:summarise the returns\n";

std::string
Text(const std::string& aPrompt, std::int64_t aFirst, std::int64_t aEnd)
{
  std::string text;
  for (auto i = aFirst; i < aEnd; ++i) {
    text += StandinToken(aPrompt, i);
  }
  return text;
}

std::string
ChatBody(const std::string& aGenerated)
{
  json::array messages{ { { "role", "user" },
                          { "content", "summarise the returns" } } };
  if (!aGenerated.empty()) {
    messages.push_back({ { "role", "assistant" }, { "content", aGenerated } });
  }
  return json::serialize(json::object{ { "messages", messages } });
}

} // namespace

BOOST_TEST_DECORATOR(*boost::unit_test::label("standin"))
BOOST_DATA_TEST_CASE(A_chat_completion_resumes_after_its_prefix,
                     data::xrange(0, 12),
                     tokens)
{
  auto resumed =
    ReadStandinCompletion(true, ChatBody(Text(kPrompt, 0, tokens)));
  BOOST_REQUIRE(resumed);
  BOOST_TEST(resumed->firstIndex_ == tokens);
  BOOST_TEST(resumed->prompt_ == kPrompt);
}

BOOST_TEST_DECORATOR(*boost::unit_test::label("standin"))
BOOST_DATA_TEST_CASE(A_text_completion_resumes_after_its_prefix,
                     data::xrange(0, 12),
                     tokens)
{
  std::string prompt = "talk of t0-1 and t0-";
  std::string text = prompt + Text(prompt, 0, tokens);
  auto resumed = ReadStandinCompletion(
    false, json::serialize(json::object{ { "prompt", text } }));
  BOOST_REQUIRE(resumed);
  BOOST_TEST(resumed->firstIndex_ == tokens);
  BOOST_TEST(resumed->prompt_ == prompt);
}

BOOST_AUTO_TEST_CASE(A_prefix_of_another_prompt_is_not_resumed,
                     *boost::unit_test::label("standin"))
{
  auto other = ReadStandinCompletion(true, ChatBody(Text("else", 0, 3)));
  BOOST_REQUIRE(other);
  BOOST_TEST(other->firstIndex_ == 0);
}

BOOST_TEST_DECORATOR(*boost::unit_test::label("standin"))
BOOST_DATA_TEST_CASE(Invalid_faults_are_rejected,
                     data::make({ "",
                                  "[]",
                                  R"({"stal_ms":1})",
                                  R"({"stall_ms":-1})",
                                  R"({"break":"sometimes"})",
                                  R"({"refuses":1})",
                                  R"({"answer_header":"X"})",
                                  R"({"answer_header":": 1"})" }),
                     text)
{
  BOOST_TEST(!ReadStandinFaults(text, {}));
}

BOOST_AUTO_TEST_CASE(Omitted_faults_keep_their_values,
                     *boost::unit_test::label("standin"))
{
  auto first = ReadStandinFaults(
    R"({"slots":4,"refuses":true,"answer_header":"X: 1"})", {});
  BOOST_REQUIRE(first);
  auto second = ReadStandinFaults(
    R"({"refuses":false,"break":"reset_mid_answer"})", *first);
  BOOST_REQUIRE(second);
  BOOST_TEST(second->slots_ == 4U);
  BOOST_TEST(second->answerHeader_ == "X: 1");
  BOOST_TEST(!second->refuses_);
  BOOST_TEST((second->break_ == StandinBreak::ResetMidAnswer));
}

Feature: An answer that ends inside its head is no answer

  # Guards against MIXED and ORDER: clients got a 200 with an empty or short body, framed as whole,
  # from a target that stopped in the middle of its answer's head and closed.
  Scenario Outline: No client of targets takes <answer> for an answer
    Given a target that sends <answer> and closes
    When each kind of client asks it with GET and with POST
    Then none of them gets a whole answer

    Examples:
      | answer                          |
      | a part of the status line       |
      | a status line                   |
      | a part of a header              |
      | headers without an end          |
      | half of the end of the headers  |
      | an interim answer only          |
      | a part of a chunk               |
      | less than the length it names   |

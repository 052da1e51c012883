Feature: The memory for what clients send and read is divided by need and pace

  # Guards against a body that stops just short of its end and keeps its memory.
  Scenario: A body that has stopped makes room, not one that is slow but steady
    Given memory for 1000 bytes, 100 of them reserved for holdings of up to 50
    And a stopped holding of 500 bytes and a steady one of 300, 10 s old
    When a new holding asks for 400 bytes
    Then it gets them, and only the stopped holding was evicted

  # Guards against large bodies that take the place of small ones.
  Scenario: The reserve is open to small holdings only
    Given memory for 1000 bytes, 100 of them reserved for holdings of up to 50
    And holdings at targets that take 900 bytes
    Then a new holding of 60 bytes is refused, and one of 50 is not

  # Guards against a body that evicts faster ones as long as it keeps sending a little.
  Scenario: A holding that is itself the slowest is refused
    Given memory for 1000 bytes, 100 of them reserved for holdings of up to 50
    And a stopped holding of 500 bytes and a steady one of 300, 10 s old
    When the stopped holding asks for 400 bytes
    Then it is refused, and no holding was evicted

  # Guards against uploads that are evicted before they had time to send anything.
  Scenario: Holdings that have just begun are evicted last
    Given memory for 1000 bytes, 100 of them reserved for holdings of up to 50
    And a new holding of 500 bytes and a steady one of 300, 10 s old
    When a new holding asks for 200 bytes
    Then it gets them, and only the steady holding was evicted

  # Guards against eviction of bodies that targets may be running already.
  Scenario: A body at a target is not evicted
    Given memory for 1000 bytes, 100 of them reserved for holdings of up to 50
    And holdings at targets that take 900 bytes
    When a new holding asks for 200 bytes
    Then it is refused, and no holding was evicted

  # Guards against answers that are read into memory that a cut one still holds.
  Scenario: A large answer waits until a cut one is gone
    Given memory for 1000 bytes, 100 of them reserved for holdings of up to 50
    And an answer of 800 bytes that its caller has not read for 10 s
    When an answer of 800 bytes waits for room
    Then the first answer is cut, and the other waits until it is gone

  # Guards against limits of the VM that are not taken over.
  Scenario Outline: The memory follows the node file
    Given a node file with <memory> MB of memory
    Then <bytes> bytes are for clients, by default

    Examples:
      | memory | bytes    |
      | 200    | 50000000 |
      | 160    | 40000000 |
      | 0      | 50000000 |

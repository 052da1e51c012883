Feature: Messages about load are small, bounded, and read as from anyone

  # Guards against an exchange that takes a small VM's link at the size to design for.
  Scenario Outline: A router of a fleet of <fleet> sends and receives at most 14 KB/s
    Given <zones> zones of <routers> routers and <targets> targets, <rate> requests/s each
    Then its messages take at most 14,000 bytes/s, and each at most a quarter of the bound
    And it has at least <neighbours> neighbours and reports at least every 1.4 s

    Examples:
      | fleet | zones | routers | targets | rate | neighbours |
      | 6     | 3     | 2       | 29      | 50   | 1          |
      | 36    | 3     | 12      | 29      | 8.6  | 11         |
      | 60    | 3     | 20      | 29      | 5.2  | 19         |
      | 195   | 3     | 65      | 70      | 5.2  | 20         |
      | 300   | 3     | 100     | 334     | 5.2  | 12         |
      | 2100  | 7     | 300     | 1043    | 67   | 4          |

  Scenario: What a router reports is what others read
    Then 200 random reports are read as they were sent

  # Guards against one odd message that ends the task that reads, or fills the memory.
  Scenario: Odd messages are refused with an error that says why
    Then 20,000 random or changed messages are refused or read, and nothing else
    And a message that grows beyond its bound once decompressed is refused
    And a message larger than the bound is refused
    And a message of another format is refused

  # Guards against routers that listen to others which don't listen to them.
  Scenario Outline: Of <routers> routers, each one's neighbours have it as a neighbour
    Given <routers> routers of a zone, and others of another zone and an older version
    Then each has <neighbours> neighbours, of its zone and able to report, and is theirs

    Examples:
      | routers | neighbours |
      | 2       | 1          |
      | 20      | 19         |
      | 21      | 20         |
      | 65      | 20         |
      | 300     | 20         |

  # Guards against an entry of a router that is lost with one bad field.
  Scenario: Entries of routers keep their meaning with and without the new field
    Then entries of routers with, without and with a bad address for load are read

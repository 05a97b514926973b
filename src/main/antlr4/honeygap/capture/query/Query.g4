// Filter expressions that select RPCs of a capture: method == "book" and took > 20ms and not served
grammar Query;

whole: either EOF;

either: both ('or' both)*;

both: plain ('and' plain)*;

plain
    : 'not' plain                                           # Not
    | '(' either ')'                                        # Inner
    | WORD compare=('==' | '!=' | '<' | '<=' | '>' | '>=') value   # Compare
    | WORD compare='~' TEXT                                 # Match
    | WORD 'in' '(' value (',' value)* ')'                  # Among
    | WORD                                                  # Holds
    ;

value: TEXT | NUMBER;

TEXT: '"' (~["\\\r\n] | '\\' .)* '"';
NUMBER: '-'? [0-9]+ ('.' [0-9]+)? [a-zA-Z]*;
WORD: [a-zA-Z] [a-zA-Z0-9_]*;
SPACE: [ \t\r\n]+ -> skip;
OTHER: .;

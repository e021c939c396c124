# Completion of fuchsiaquayctl for bash: source this file.
_fuchsiaquayctl() {
  local word=${COMP_WORDS[COMP_CWORD]} previous=${COMP_WORDS[COMP_CWORD-1]}
  local options="--node --token-file --output --dry-run --timeout --help --revision --interval
    --count --customer --rank --model --service --prompt-tokens --max-tokens
    --seeds --profiles --variants --threads --csv --svg"
  case $previous in
    contract) COMPREPLY=($(compgen -W "list get apply diff delete history" -- "$word")); return ;;
    key) COMPREPLY=($(compgen -W "issue rotate revoke" -- "$word")); return ;;
    upstream) COMPREPLY=($(compgen -W "list add drain remove" -- "$word")); return ;;
    request) COMPREPLY=($(compgen -W "explain" -- "$word")); return ;;
    node) COMPREPLY=($(compgen -W "list drain" -- "$word")); return ;;
    --output) COMPREPLY=($(compgen -W "table json" -- "$word")); return ;;
    --token-file|--csv|--svg|apply|diff|add) COMPREPLY=($(compgen -f -- "$word")); return ;;
  esac
  if [[ $word == -* ]]; then
    COMPREPLY=($(compgen -W "$options" -- "$word"))
  else
    COMPREPLY=($(compgen -W "contract key upstream node request status watch explain bench" -- "$word"))
  fi
}
complete -F _fuchsiaquayctl fuchsiaquayctl
